//! Tests of tidepier as a whole: one binary, a module for each matter.

// `pub` marks what other modules of this binary use.
#![allow(unreachable_pub)]

mod bound;
mod claims;
mod cli;
mod clocks;
mod documents;
mod edges;
mod faulty_answers;
mod harness;
mod membership;
mod migration;
mod modules;
mod orders;
mod placement;
mod recovery;
mod revisions;
mod scenarios;
mod scripts;
mod settings;
mod shutdown;
mod stores;
mod streams;
mod wire;
