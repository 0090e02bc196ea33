//! What a link delivers when its peer closes it.

use {
    bytes::{BufMut, BytesMut},
    magnoliasail_wire::{Link, LinkSettings},
    prost::Message,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

const MESSAGES: u64 = 50;

/// Encodes the messages 1 to `MESSAGES` as frames.
fn encode_frames() -> BytesMut {
    let mut frames = BytesMut::new();
    for message in 1..=MESSAGES {
        let message = message.encode_to_vec();
        frames.put_u32(message.len() as u32);
        frames.extend_from_slice(&message);
    }
    frames
}

/// Returns a connection whose peer has sent all messages and then reset it, because it closed the
/// connection before it had read what it was sent.
async fn reset_connection() -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let (mut peer, _) = listener.accept().await.expect("a connection");
    stream.write_all(&[0; 64]).await.expect("the data is sent");
    peer.read_u8().await.expect("the data arrives");
    peer.write_all(&encode_frames())
        .await
        .expect("the frames are sent");
    drop(peer);
    stream
}

/// An agent that exits has sent the end of its streams, and requests may be on their way to it.
#[tokio::test]
async fn messages_before_a_reset_are_received_although_sending_fails() {
    const ROUNDS: u32 = 20;
    for round in 0..ROUNDS {
        let stream = reset_connection().await;
        let (link, outbox) = Link::<u64>::new(stream, LinkSettings::default());
        outbox.try_send(round.into()).expect("the queue has room");
        let mut received = Vec::new();
        let _ = link.run(async |message: u64| received.push(message)).await;
        assert_eq!(received, Vec::from_iter(1..=MESSAGES), "round {round}");
    }
}
