//! sagespool

fn main() {}
