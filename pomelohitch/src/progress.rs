//! A spinner that shows what a command waits for.
//!
//! It is drawn on standard error, and only if that is a terminal, so that output to files and other
//! programs is the same in every run.

use std::io::IsTerminal as _;
use std::time::Duration;

use indicatif::ProgressBar;

/// Time between two frames of the spinner.
const FRAME_INTERVAL: Duration = Duration::from_millis(100);

/// A spinner with a line of text; it is cleared on drop.
#[derive(Debug)]
pub struct Progress {
    bar: ProgressBar,
}

impl Progress {
    /// Starts the spinner with the message `text`, if standard error is a terminal.
    #[must_use]
    pub fn start(text: &str) -> Progress {
        let bar = if std::io::stderr().is_terminal() {
            let bar = ProgressBar::new_spinner();
            bar.enable_steady_tick(FRAME_INTERVAL);
            bar
        } else {
            ProgressBar::hidden()
        };
        bar.set_message(text.to_owned());
        Progress { bar }
    }

    /// Replaces the message.
    pub fn set_text(&self, text: &str) {
        self.bar.set_message(text.to_owned());
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.bar.finish_and_clear();
    }
}
