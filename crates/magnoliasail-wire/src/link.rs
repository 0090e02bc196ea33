//! An open link, which carries framed messages and detects a dead peer by missing heartbeats.

use {
    crate::{ConnectionSnafu, LinkError, LinkSettings, MalformedSnafu},
    bytes::Bytes,
    futures_util::{SinkExt, StreamExt},
    prost::Message,
    snafu::ResultExt,
    tokio::{
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::mpsc,
        time::timeout,
    },
    tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
};

/// The queue of messages to send over a link; dropping the last clone closes the link.
pub type Outbox<M> = mpsc::Sender<M>;

/// The result of running a link: `Ok` if the peer or the owner of the [`Outbox`] closed it.
pub type LinkResult = Result<(), LinkError>;

/// An open link that sends messages of type `M`.
#[derive(Debug)]
pub struct Link<M> {
    stream: TcpStream,
    settings: LinkSettings,
    outbox: mpsc::Receiver<M>,
}

impl<M: Message + 'static> Link<M> {
    /// Creates a link over an authenticated connection and returns it with its outbox.
    #[must_use]
    pub fn new(stream: TcpStream, settings: LinkSettings) -> (Self, Outbox<M>) {
        let (sender, outbox) = mpsc::channel(settings.outbox_capacity);
        let link = Self {
            stream,
            settings,
            outbox,
        };
        (link, sender)
    }

    /// Sends queued messages and calls `on_message` with each received one until the link closes.
    ///
    /// No further frame is read while `on_message` runs. If sending fails, what the peer sent before
    /// it closed the connection is still received.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, if no frame arrives within
    /// [`LinkSettings::timeout_ms`] or if a frame cannot be decoded.
    pub async fn run<I, F>(self, on_message: F) -> LinkResult
    where
        I: Message + Default,
        F: AsyncFnMut(I),
    {
        let (reader, writer) = self.stream.into_split();
        let reading = read_frames(reader, self.settings, on_message);
        let writing = write_frames(writer, self.settings, self.outbox);
        tokio::pin!(reading);
        let sent = tokio::select! {
            received = &mut reading => return received,
            sent = writing => sent,
        };
        if sent.is_err() {
            // A connection that can't be written to any more ends for the reader too, but after the
            // frames that have arrived.
            reading.await?;
        }
        sent
    }
}

fn codec(settings: &LinkSettings) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(settings.max_frame_bytes)
        .new_codec()
}

async fn read_frames<I, F>(
    reader: OwnedReadHalf,
    settings: LinkSettings,
    mut on_message: F,
) -> LinkResult
where
    I: Message + Default,
    F: AsyncFnMut(I),
{
    let mut frames = FramedRead::new(reader, codec(&settings));
    loop {
        let timed_out = LinkError::TimedOut {
            timeout_ms: settings.timeout_ms,
        };
        let frame = timeout(settings.timeout(), frames.next())
            .await
            .map_err(|_| timed_out)?;
        let Some(frame) = frame else { return Ok(()) };
        let frame = frame.context(ConnectionSnafu)?;
        if !frame.is_empty() {
            on_message(I::decode(frame).context(MalformedSnafu)?).await;
        }
    }
}

async fn write_frames<M: Message>(
    writer: OwnedWriteHalf,
    settings: LinkSettings,
    mut outbox: mpsc::Receiver<M>,
) -> LinkResult {
    let mut frames = FramedWrite::new(writer, codec(&settings));
    loop {
        let message = timeout(settings.heartbeat(), outbox.recv()).await;
        let frame = match message {
            Ok(Some(message)) => Bytes::from(message.encode_to_vec()),
            Ok(None) => return Ok(()),
            Err(_) => Bytes::new(),
        };
        frames.feed(frame).await.context(ConnectionSnafu)?;
        while let Ok(message) = outbox.try_recv() {
            let frame = Bytes::from(message.encode_to_vec());
            frames.feed(frame).await.context(ConnectionSnafu)?;
        }
        SinkExt::<Bytes>::flush(&mut frames)
            .await
            .context(ConnectionSnafu)?;
    }
}
