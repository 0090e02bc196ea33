//! Runners as child processes, with what they say in the record.

use crate::{fleet::Record, runner::RunnerSettings};
use std::{
    io::{BufRead, BufReader, Write},
    process::{Child, ChildStdin, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// What a runner said, and when.
pub type Said = Arc<Mutex<Vec<(Instant, String)>>>;

/// A runner in a process of its own; it is killed when this is dropped.
pub struct RunnerProcess {
    child: Child,
    input: Option<ChildStdin>,
    pub said: Said,
}

impl RunnerProcess {
    /// Starts a runner and waits until it listens.
    pub fn start(settings: &RunnerSettings, name: &str, record: &Record) -> Result<Self, String> {
        let own = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut child = Command::new(own)
            .arg("runner")
            .args(settings.to_arguments())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| error.to_string())?;
        let output = child.stdout.take().ok_or("no output")?;
        let said = Said::default();
        let (heard, record, label) = (Arc::clone(&said), record.clone(), name.to_owned());
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                heard.lock().unwrap().push((Instant::now(), line.clone()));
                record.line(format!("runner {label}: {line}"));
            }
        });
        let input = child.stdin.take();
        let runner = Self { child, input, said };
        let deadline = Instant::now() + Duration::from_secs(3);
        while Instant::now() < deadline {
            if runner.has_said("listens") {
                return Ok(runner);
            }
            thread::sleep(Duration::from_millis(5));
        }
        Err(format!("runner {name} does not listen"))
    }

    pub fn has_said(&self, start: &str) -> bool {
        self.said
            .lock()
            .unwrap()
            .iter()
            .any(|(_, line)| line.starts_with(start))
    }

    /// Tells the runner that it leaves.
    pub fn leave(&mut self) {
        if let Some(input) = &mut self.input {
            let _ = writeln!(input, "leave");
            let _ = input.flush();
        }
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for RunnerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
