//! A path between a machine and a runner that can be cut: nothing passes it, in either direction, until it heals.
//! What was on the way, the end of a channel too, arrives after that, as TCP sends it again.

use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

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
