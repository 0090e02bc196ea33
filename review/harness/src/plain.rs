//! A stand-in for a runner of a plain service, which is a process of its own. Its answers have neither a length nor
//! chunks and end with their channels.

use {
    crate::{
        setup::PLAIN_SERVICE,
        store::Store,
        world::{World, unix_ms, zone},
    },
    serde_json::json,
    std::{
        fs::File,
        net::SocketAddr,
        path::{Path, PathBuf},
        process::Command,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// An answer comes in this many pieces of this many bytes.
const PIECES: usize = 8;
const PIECE_BYTES: usize = 100;
const WORK_TIME: Duration = Duration::from_millis(40);
const PIECE_TIME: Duration = Duration::from_millis(10);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub const BODY_BYTES: usize = PIECES * PIECE_BYTES;

/// Serves until the process ends.
pub async fn serve(address: SocketAddr, id: String) {
    let runs = Arc::new(AtomicU64::new(0));
    let listener = TcpListener::bind(address)
        .await
        .expect("the server listens");
    while let Ok((stream, _)) = listener.accept().await {
        let (id, runs) = (id.clone(), Arc::clone(&runs));
        tokio::spawn(async move {
            let _ = answer(stream, id, &runs).await;
        });
    }
}

async fn answer(mut stream: TcpStream, id: String, runs: &AtomicU64) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let byte = stream.read_u8().await?;
        head.push(byte);
    }
    let text = String::from_utf8_lossy(&head).to_lowercase();
    let header = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.unwrap_or_default().trim().to_owned()
    };
    let (request, expected) = (header("request-id:"), header("expect-instance:"));
    if !expected.is_empty() && expected != id {
        let refusal = format!(
            "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nRequest-Id: {request}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        );
        return stream.write_all(refusal.as_bytes()).await;
    }
    println!(
        "run {} request={request} server={id}",
        runs.fetch_add(1, Ordering::Relaxed) + 1
    );
    sleep(WORK_TIME).await;
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: 3e1b.{id}.{request}\r\nServer-Load: 1,0,6\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    for piece in 0..PIECES {
        let digit = char::from_digit(piece as u32, 10).unwrap_or('x');
        stream
            .write_all(digit.to_string().repeat(PIECE_BYTES).as_bytes())
            .await?;
        sleep(PIECE_TIME).await;
    }
    stream.shutdown().await
}

/// A server's process, as its case sees it.
pub struct PlainServer {
    process: u32,
    output: PathBuf,
    beating: tokio::task::AbortHandle,
}

impl PlainServer {
    pub fn start(world: &Arc<World>, store: &Arc<Store>, folder: &Path, index: usize) -> Self {
        let output = folder.join(format!("plain-{index}.log"));
        let (address, id) = (world.plain_address(index), format!("i-02d9{index:04x}"));
        let program = std::env::current_exe().expect("the program has a path");
        let child = Command::new(program)
            .args(["plain-server", &address.to_string(), &id])
            .stdout(File::create(&output).expect("the output is made"))
            .spawn()
            .expect("the server starts");
        let process = child.id();
        crate::processes::add_child(format!("plain-{index}"), child);
        world.log(format!("plain server {id} pid={process}"));
        let row = json!({"service": PLAIN_SERVICE, "address": address.to_string(), "zone": zone(index),
            "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 0, "born": unix_ms()});
        let store = Arc::clone(store);
        let beating = tokio::spawn(async move {
            loop {
                store.put(&format!("servers/{id}"), &row);
                sleep(HEARTBEAT).await;
            }
        });
        Self {
            process,
            output,
            beating: beating.abort_handle(),
        }
    }

    /// Adds what the server has run to the record.
    pub fn record_runs(&self, world: &World) {
        for line in std::fs::read_to_string(&self.output)
            .unwrap_or_default()
            .lines()
        {
            world.log(line);
        }
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&self, world: &World) {
        self.beating.abort();
        crate::processes::kill(self.process);
        world.log(format!("killed pid={}", self.process));
    }
}
