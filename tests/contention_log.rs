//! What an operator reads in the log about contended capacity.
//!
//! The only test of its file: a subscriber of one thread may miss lines at places that a test in
//! another thread reaches first.

mod cell_core;

use std::sync::{Arc, Mutex};

use cell_core::{Bench, job, queue, shared_configuration, step, workspace};
use crossweir::cell::options::Options;
use crossweir::cell::record::JobRow;

/// The log of a test.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl Log {
    fn count(&self, text: &str) -> usize {
        let bytes = self.0.lock().expect("the log").clone();
        let lines = String::from_utf8(bytes).expect("text");
        lines.lines().filter(|line| line.contains(text)).count()
    }
}

impl std::io::Write for Log {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("the log").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a line for each round of a cell whose contention pauses again and again.
#[test]
fn the_log_has_one_line_when_contention_begins_and_one_when_it_ends() {
    let log = Log::default();
    let writer = log.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_ansi(false)
        .with_writer(move || writer.clone())
        .finish();
    tracing::subscriber::with_default(subscriber, || {
        let list = [workspace("a", 0), workspace("b", 0)];
        let queues = [queue("q", 0)];
        let mut bench = Bench::new(1, &queues);
        bench
            .cell
            .configure(shared_configuration(2, &queues, &list));
        for id in 0..40 {
            let row = JobRow {
                workspace: Some(list[id as usize % 2].clone()),
                ..job(id, &queues[0], vec![step(1, 4_000)])
            };
            bench.accept(&row);
        }
        let shares = Options {
            shares: true,
            ..Options::default()
        };
        // The option is switched on and off to pause the contention.
        for round in 0..20 {
            let options = [shares, Options::default()][round % 2];
            bench.cell.set_options(options);
            bench.cell.schedule(bench.now);
            bench.pass(100);
            bench.poll_all();
        }
        assert_eq!(log.count("capacity is contended"), 1);
        assert_eq!(log.count("capacity is no longer contended"), 0);
        bench.cell.set_options(Options::default());
        bench.pass(1_000);
        bench.cell.schedule(bench.now);
        bench.pass(1_000);
        bench.cell.schedule(bench.now);
    });
    assert_eq!(log.count("capacity is contended"), 1);
    assert_eq!(log.count("capacity is no longer contended"), 1);
}
