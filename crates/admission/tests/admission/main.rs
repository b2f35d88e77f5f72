//! Tests of the decisions under load, without a network.

mod decisions;
mod driver;
mod overload;
mod reports;
mod returns;
mod shares;
mod stall;
mod verify;
