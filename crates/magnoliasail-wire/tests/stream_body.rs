//! A streamed body ends normally only if its writer calls `StreamWriter::end`.
//!
//! Otherwise a response whose writer failed would look complete to the client.

use {
    bytes::Bytes,
    http_body_util::BodyExt,
    magnoliasail_wire::{ReaderDropped, StreamAborted, StreamBody, stream_body},
};

const CAPACITY: usize = 4;

async fn read_chunk(body: &mut StreamBody) -> Option<Result<Bytes, StreamAborted>> {
    let frame = body.frame().await?;
    Some(frame.map(|frame| frame.into_data().expect("the frame holds data")))
}

#[tokio::test]
async fn ended_body_is_complete() {
    let (writer, mut body) = stream_body(CAPACITY);
    writer.write("one".into()).await.expect("the body is read");
    writer.end();
    assert_eq!(read_chunk(&mut body).await, Some(Ok("one".into())));
    assert_eq!(read_chunk(&mut body).await, None);
}

#[tokio::test]
async fn dropped_writer_aborts_body_after_written_chunks() {
    let (writer, mut body) = stream_body(CAPACITY);
    writer.write("one".into()).await.expect("the body is read");
    drop(writer);
    assert_eq!(read_chunk(&mut body).await, Some(Ok("one".into())));
    assert_eq!(read_chunk(&mut body).await, Some(Err(StreamAborted)));
}

#[tokio::test]
async fn panic_of_writer_aborts_body() {
    let (writer, mut body) = stream_body(CAPACITY);
    let task = tokio::spawn(async move {
        writer.write("one".into()).await.expect("the body is read");
        panic!("the writer fails");
    });
    assert!(task.await.is_err());
    assert_eq!(read_chunk(&mut body).await, Some(Ok("one".into())));
    assert_eq!(read_chunk(&mut body).await, Some(Err(StreamAborted)));
}

#[tokio::test]
async fn aborted_writer_task_aborts_body() {
    let (writer, mut body) = stream_body(CAPACITY);
    let task = tokio::spawn(async move {
        let _writer = writer;
        std::future::pending::<()>().await;
    });
    task.abort();
    assert_eq!(read_chunk(&mut body).await, Some(Err(StreamAborted)));
}

#[tokio::test]
async fn writer_observes_dropped_body() {
    let (writer, body) = stream_body(CAPACITY);
    drop(body);
    writer.closed().await;
    assert_eq!(writer.write("one".into()).await, Err(ReaderDropped));
}
