//! An open link: frames, heartbeats and liveness.

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

/// The sending side of a link; dropping it closes the link.
pub type Outbox<M> = mpsc::Sender<M>;

/// Why a link ended.
pub type LinkResult = Result<(), LinkError>;

/// An open link that sends `M`.
#[derive(Debug)]
pub struct Link<M> {
    stream: TcpStream,
    settings: LinkSettings,
    outbox: mpsc::Receiver<M>,
}

impl<M: Message + 'static> Link<M> {
    /// Wraps an authenticated connection; returns its outbox too.
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

    /// Carries messages until the link ends, and hands each that arrives to `receive`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, falls silent or carries a malformed frame.
    pub async fn run<I, F>(self, receive: F) -> LinkResult
    where
        I: Message + Default,
        F: AsyncFnMut(I),
    {
        let (read, write) = self.stream.into_split();
        tokio::select! {
            end = read_frames(read, self.settings, receive) => end,
            end = write_frames(write, self.settings, self.outbox) => end,
        }
    }
}

fn codec(settings: &LinkSettings) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(settings.max_frame_bytes)
        .new_codec()
}

async fn read_frames<I, F>(
    read: OwnedReadHalf,
    settings: LinkSettings,
    mut receive: F,
) -> LinkResult
where
    I: Message + Default,
    F: AsyncFnMut(I),
{
    let mut frames = FramedRead::new(read, codec(&settings));
    loop {
        let silent = LinkError::TimedOut {
            timeout_ms: settings.timeout_ms,
        };
        let frame = timeout(settings.timeout(), frames.next())
            .await
            .map_err(|_| silent)?;
        let Some(frame) = frame else { return Ok(()) };
        let frame = frame.context(ConnectionSnafu)?;
        if !frame.is_empty() {
            receive(I::decode(frame).context(MalformedSnafu)?).await;
        }
    }
}

async fn write_frames<M: Message>(
    write: OwnedWriteHalf,
    settings: LinkSettings,
    mut outbox: mpsc::Receiver<M>,
) -> LinkResult {
    let mut frames = FramedWrite::new(write, codec(&settings));
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
