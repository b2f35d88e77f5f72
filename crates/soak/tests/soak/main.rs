//! Tests of the parts of the soak: what schedule a seed gives, what each impairment of a
//! proxy does, and what rules find in hand-made evidence. Trials show that the rules find
//! faults of a real relay (docs/SOAK.md).

mod incidents;
mod misbehaving;
mod proxies;
mod rules;
mod schedules;
