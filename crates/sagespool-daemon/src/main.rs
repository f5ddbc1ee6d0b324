//! sagespoold

fn main() {}
