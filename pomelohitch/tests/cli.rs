//! Tests of the commands against a log in memory, and of the binary.

mod cli {
    mod binary;
    mod memory_log;
    mod propose;
    mod publish;
    mod views;
}
