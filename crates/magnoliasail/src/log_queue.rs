//! Log lines on their way to standard output.
//!
//! The thread that decides never waits for whoever reads standard output: a line that does not fit
//! the ring is dropped and counted, and the count is written once there is room again.

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

/// Lines that may wait to be written.
const WAITING_LINES: usize = 2_048;
/// Lines that are written at once.
const BATCH_LINES: usize = 64;

/// Formats log lines and hands them to the writer's thread.
#[derive(Debug)]
pub(crate) struct LogQueue<L> {
    layout: L,
    lines: Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl<L: Layout> LogQueue<L> {
    /// Starts the thread that writes lines.
    ///
    /// # Panics
    ///
    /// Panics if the system gives no thread.
    pub(crate) fn start(layout: L) -> Self {
        let (lines, waiting) = bounded(WAITING_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&waiting, &counted))
            .expect("the system gives a thread for logs");
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

fn write_lines(waiting: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut batch = Vec::new();
    while let Ok(line) = waiting.recv() {
        batch.extend_from_slice(&line);
        batch.extend(waiting.try_iter().take(BATCH_LINES).flatten());
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let event = crate::events::EventId::LogLinesDropped;
            let _ = writeln!(batch, "E{} {event}: count={lost}", event.number());
        }
        let mut out = std::io::stdout().lock();
        // Nobody is left to be told of a standard output that is gone.
        let _ = out.write_all(&batch);
        let _ = out.flush();
        batch.clear();
    }
}
