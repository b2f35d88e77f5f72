//! The parts of the soak, each by itself: what a seed decides, what a way does,
//! and what rules find in evidence made by hand. That rules find what is wrong
//! with a real relay is shown by trials (docs/SOAK.md).

mod rules;
mod schedules;
mod ways;
