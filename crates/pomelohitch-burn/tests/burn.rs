//! Tests of service-level burn: counting, records, gaps, reports and plots.

mod burn {
    mod counts;
    pub mod ledger;
    mod report;
}
