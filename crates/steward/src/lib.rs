//! The steward process: orders to engines and paced use of the weight store
