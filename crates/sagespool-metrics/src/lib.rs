//! Metrics of a process: histograms by class and branch, counters, exposition.
