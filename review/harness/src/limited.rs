//! A stand-in for a plain runner in need, which names the requests a second that it takes from all machines.

use {
    crate::{
        setup::PLAIN_SERVICE,
        store::Store,
        world::{World, unix_ms, zone},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
    },
    hyper_util::rt::TokioIo,
    serde_json::json,
    std::{
        convert::Infallible,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, time::sleep},
};

const WORK_TIME: Duration = Duration::from_millis(15);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub struct LimitedServer {
    pub id: String,
    world: Arc<World>,
    pub per_s: f64,
    pub arrivals: Mutex<Vec<Instant>>,
}

impl LimitedServer {
    pub async fn start(
        world: &Arc<World>,
        store: &Arc<Store>,
        index: usize,
        per_s: f64,
    ) -> Arc<Self> {
        let address = world.plain_address(index);
        let server = Arc::new(Self {
            id: format!("i-02d9{index:04x}"),
            world: Arc::clone(world),
            per_s,
            arrivals: Mutex::default(),
        });
        let listener = TcpListener::bind(address)
            .await
            .expect("the server listens");
        let serving = Arc::clone(&server);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = Arc::clone(&serving);
                let service = service_fn(move |request| Arc::clone(&server).answer(request));
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            }
        });
        let row = json!({"service": PLAIN_SERVICE, "address": address.to_string(), "zone": zone(index),
            "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 0, "born": unix_ms()});
        let (key, store) = (format!("servers/{}", server.id), Arc::clone(store));
        tokio::spawn(async move {
            loop {
                store.put(&key, &row);
                sleep(HEARTBEAT).await;
            }
        });
        server
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let header = |name: &str| {
            let value = request
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let (id, expected) = (header("request-id"), header("expect-instance"));
        self.arrivals.lock().unwrap().push(Instant::now());
        self.world
            .log(format!("arrival request={id} server={}", self.id));
        let mut response = Response::new(Full::new(Bytes::from("x".repeat(800))));
        if !expected.is_empty() && expected != self.id {
            *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
        } else {
            sleep(WORK_TIME).await;
        }
        let headers = response.headers_mut();
        headers.insert("request-id", id.parse().unwrap());
        headers.insert(
            "response-stamp",
            format!("3e1b.{}.{id}", self.id).parse().unwrap(),
        );
        headers.insert("server-limit", self.per_s.to_string().parse().unwrap());
        Ok(response)
    }

    /// Returns the most requests in some 4 s, from `from` on.
    pub fn most_in_window(&self, from: Instant) -> (usize, Instant) {
        const WINDOW: Duration = Duration::from_secs(4);
        let arrivals = self.arrivals.lock().unwrap();
        let later: Vec<Instant> = arrivals.iter().copied().filter(|&at| at >= from).collect();
        let count = |start: Instant| {
            later
                .iter()
                .filter(|&&at| at >= start && at < start + WINDOW)
                .count()
        };
        later
            .iter()
            .map(|&start| (count(start), start))
            .max()
            .unwrap_or((0, from))
    }
}
