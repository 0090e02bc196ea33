//! A path between a machine and a runner that can be cut: nothing passes it, in either direction, until it heals.
//! What was on the way, the end of a channel too, arrives after that, as TCP sends it again.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

pub struct Path {
    is_cut: watch::Sender<bool>,
}

impl Path {
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let (is_cut, cut) = watch::channel(false);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay(stream, target, cut.clone()));
            }
        });
        Ok(Self { is_cut })
    }

    /// Starts a path over the link of a machine, which carries so many bytes per second towards the machine.
    pub async fn start_limited(listen: SocketAddr, target: SocketAddr, bytes_per_s: f64) -> io::Result<()> {
        let listener = TcpListener::bind(listen).await?;
        let free_at = Arc::new(Mutex::new(Instant::now()));
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let free_at = Arc::clone(&free_at);
                tokio::spawn(async move {
                    let Ok(far) = TcpStream::connect(target).await else {
                        return;
                    };
                    let _ = near.set_nodelay(true);
                    let _ = far.set_nodelay(true);
                    let (near_read, near_write) = near.into_split();
                    let (far_read, far_write) = far.into_split();
                    let (_open, cut) = watch::channel(false);
                    // Either end ends both.
                    tokio::select! {
                        () = copy(near_read, far_write, cut) => {}
                        () = copy_limited(far_read, near_write, &free_at, bytes_per_s) => {}
                    }
                });
            }
        });
        Ok(())
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.send_replace(is_cut);
    }
}

async fn relay(near: TcpStream, target: SocketAddr, mut cut: watch::Receiver<bool>) {
    let _ = cut.wait_for(|cut| !cut).await;
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let other = cut.clone();
    tokio::join!(copy(near_read, far_write, cut), copy(far_read, near_write, other));
}

async fn copy(mut read: OwnedReadHalf, mut write: OwnedWriteHalf, mut cut: watch::Receiver<bool>) {
    let mut buffer = vec![0; 16_384];
    loop {
        let length = read.read(&mut buffer).await.unwrap_or(0);
        let _ = cut.wait_for(|cut| !cut).await;
        if length == 0 {
            // Passes the end of the channel on.
            let _ = write.shutdown().await;
            return;
        }
        if write.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

async fn copy_limited(mut read: OwnedReadHalf, mut write: OwnedWriteHalf, free_at: &Mutex<Instant>, bytes_per_s: f64) {
    let mut buffer = vec![0; 4_096];
    loop {
        let length = read.read(&mut buffer).await.unwrap_or(0);
        if length == 0 {
            let _ = write.shutdown().await;
            return;
        }
        let sent_at = {
            let mut free_at = free_at.lock().unwrap();
            *free_at = (*free_at).max(Instant::now()) + Duration::from_secs_f64(length as f64 / bytes_per_s);
            *free_at
        };
        sleep_until(sent_at).await;
        if write.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
