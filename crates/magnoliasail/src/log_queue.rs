//! A bounded queue of log lines and the thread that writes them to standard output.
//!
//! A thread that logs never waits for the reader of standard output: if the queue is full, the line
//! is dropped and counted, and the writing thread logs the count with its next batch.

use {
    crossbeam_channel::{Receiver, Sender, bounded},
    logforth::{Append, Diagnostic, Error, Layout, record::Record},
    std::{
        io::Write,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Capacity of the queue, in lines.
const QUEUE_CAPACITY: usize = 2_048;
/// Limit on the queued lines that are written together with the first one.
const MAX_BATCH_LINES: usize = 64;
/// Longest wait of a flush for the reader of standard output.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// An item of the queue.
enum Item {
    Line(Vec<u8>),
    /// A request to confirm that all earlier lines have been written.
    Flush(Sender<()>),
}

/// Formats log records and queues them for the thread that writes to standard output.
#[derive(Debug)]
pub(crate) struct LogQueue<L> {
    layout: L,
    items: Sender<Item>,
    dropped: Arc<AtomicU64>,
}

impl<L: Layout> LogQueue<L> {
    /// Starts the thread that writes the lines.
    ///
    /// # Panics
    ///
    /// Panics if the system cannot start another thread.
    pub(crate) fn start(layout: L) -> Self {
        let (items, queued) = bounded(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_count = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&queued, &dropped_count))
            .expect("a thread for logs can be started");
        Self {
            layout,
            items,
            dropped,
        }
    }
}

impl<L: Layout> Append for LogQueue<L> {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        if self.items.try_send(Item::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Waits until the queued lines have been written, but not long for a reader that is stuck.
    fn flush(&self) -> Result<(), Error> {
        let (written, confirmation) = bounded(1);
        if self
            .items
            .send_timeout(Item::Flush(written), FLUSH_TIMEOUT)
            .is_ok()
        {
            let _ = confirmation.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

fn write_lines(queued: &Receiver<Item>, dropped: &AtomicU64) {
    let mut batch = Vec::new();
    let mut flushes = Vec::new();
    while let Ok(first) = queued.recv() {
        for item in std::iter::once(first).chain(queued.try_iter().take(MAX_BATCH_LINES)) {
            match item {
                Item::Line(line) => batch.extend_from_slice(&line),
                Item::Flush(written) => flushes.push(written),
            }
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let event = crate::events::EventId::LogLinesDropped;
            let _ = writeln!(batch, "E{} {event}: count={count}", event.number());
        }
        let mut stdout = std::io::stdout().lock();
        // Errors are ignored: once standard output is closed, there is nowhere to report one.
        let _ = stdout.write_all(&batch);
        let _ = stdout.flush();
        batch.clear();
        for written in flushes.drain(..) {
            let _ = written.send(());
        }
    }
}
