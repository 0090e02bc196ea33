//! A streamed body ends in order only when its writer says so.

use {
    bytes::Bytes,
    http_body_util::BodyExt,
    magnoliasail_wire::{ReaderDropped, StreamAborted, StreamBody, stream_body},
};

const PARTS: usize = 4;

async fn read(body: &mut StreamBody) -> Option<Result<Bytes, StreamAborted>> {
    let frame = body.frame().await?;
    Some(frame.map(|frame| frame.into_data().expect("a frame of data")))
}

#[tokio::test]
async fn a_body_that_is_ended_is_whole() {
    let (writer, mut body) = stream_body(PARTS);
    writer.write("one".into()).await.expect("the body is read");
    writer.end();
    assert_eq!(read(&mut body).await, Some(Ok("one".into())));
    assert_eq!(read(&mut body).await, None);
}

#[tokio::test]
async fn a_body_whose_writer_is_dropped_breaks_off_after_what_was_written() {
    let (writer, mut body) = stream_body(PARTS);
    writer.write("one".into()).await.expect("the body is read");
    drop(writer);
    assert_eq!(read(&mut body).await, Some(Ok("one".into())));
    assert_eq!(read(&mut body).await, Some(Err(StreamAborted)));
}

#[tokio::test]
async fn a_body_whose_writer_panicked_breaks_off() {
    let (writer, mut body) = stream_body(PARTS);
    let task = tokio::spawn(async move {
        writer.write("one".into()).await.expect("the body is read");
        panic!("the writer fails");
    });
    assert!(task.await.is_err());
    assert_eq!(read(&mut body).await, Some(Ok("one".into())));
    assert_eq!(read(&mut body).await, Some(Err(StreamAborted)));
}

#[tokio::test]
async fn a_body_whose_writer_task_is_aborted_breaks_off() {
    let (writer, mut body) = stream_body(PARTS);
    let task = tokio::spawn(async move {
        let _writer = writer;
        std::future::pending::<()>().await;
    });
    task.abort();
    assert_eq!(read(&mut body).await, Some(Err(StreamAborted)));
}

#[tokio::test]
async fn a_writer_learns_that_its_reader_has_gone() {
    let (writer, body) = stream_body(PARTS);
    drop(body);
    writer.closed().await;
    assert_eq!(writer.write("one".into()).await, Err(ReaderDropped));
}
