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
    },
};

/// Capacity of the queue, in lines.
const QUEUE_CAPACITY: usize = 2_048;
/// Limit on the queued lines that are written together with the first one.
const MAX_BATCH_LINES: usize = 64;

/// Formats log records and queues them for the thread that writes to standard output.
#[derive(Debug)]
pub(crate) struct LogQueue<L> {
    layout: L,
    lines: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl<L: Layout> LogQueue<L> {
    /// Starts the thread that writes the lines.
    ///
    /// # Panics
    ///
    /// Panics if the system cannot start another thread.
    pub(crate) fn start(layout: L) -> Self {
        let (lines, queued) = bounded(QUEUE_CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_count = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&queued, &dropped_count))
            .expect("a thread for logs can be started");
        Self {
            layout,
            lines,
            dropped,
        }
    }
}

impl<L: Layout> Append for LogQueue<L> {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn write_lines(queued: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut batch = Vec::new();
    while let Ok(line) = queued.recv() {
        batch.extend_from_slice(&line);
        batch.extend(queued.try_iter().take(MAX_BATCH_LINES).flatten());
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
    }
}
