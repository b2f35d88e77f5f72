//! Entries of the store that no proper writer would write: deeply nested, with numbers that are
//! too large, of other types, or no JSON at all.

use tidepier_relay_standin::names;

/// A kind of entry that boxes read: its prefix, and the fields of a proper one.
type Kind = (&'static str, &'static [(&'static str, &'static str)]);

/// All kinds.
pub const KINDS: [Kind; 6] = [
    (
        names::SERVERS,
        &[
            ("service", "\"plain\""),
            ("address", "\"127.0.0.1:9\""),
            ("zone", "\"hall-0\""),
            ("version", "\"v1\""),
            ("slots", "4"),
            ("state", "\"ready\""),
            ("cold_remaining_ms", "0"),
            ("sequence", "1"),
        ],
    ),
    (
        "tidepier/boxes/",
        &[
            ("name", "\"odd\""),
            ("hall", "\"hall-0\""),
            ("address", "\"127.0.0.1:9\""),
            ("link_mbps", "1"),
        ],
    ),
    ("tidepier/releases/", &[("releases", "[\"v1\"]")]),
    (
        "op/rollout/",
        &[
            ("service", "\"odd\""),
            ("target_version", "\"v1\""),
            ("duration_s", "1.0"),
        ],
    ),
    (
        "tidepier/rollouts/",
        &[("order", "1"), ("state", "\"canary\""), ("share", "0.5")],
    ),
    (names::EMPTIED, &[]),
];

/// What stands in the place of a proper value, or of the whole entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Value {
    /// Lists within each other, to this depth.
    Nested(usize),
    /// The same without an end.
    Unclosed(usize),
    /// A text of JSON, or one that is none.
    Text(&'static str),
}

/// All values.
pub const VALUES: [Value; 26] = [
    Value::Nested(100),
    Value::Nested(200),
    Value::Nested(5_000),
    Value::Nested(200_000),
    Value::Unclosed(1_000),
    Value::Unclosed(300_000),
    Value::Text("1e21"),
    Value::Text("1e22"),
    Value::Text("1e400"),
    Value::Text("-1"),
    Value::Text("-1e308"),
    Value::Text("0"),
    Value::Text("4294967295"),
    Value::Text("4294967296"),
    Value::Text("9223372036854775808"),
    Value::Text("18446744073709551616"),
    Value::Text("\"127.0.0.1:0\""),
    Value::Text("\"127.0.0.1:70000\""),
    Value::Text("\"127.0.0.1:99999\""),
    Value::Text("\"0.0.0.0:80\""),
    Value::Text("\"255.255.255.255:80\""),
    Value::Text("\"\""),
    Value::Text("\"\\ud800\""),
    Value::Text("null"),
    Value::Text("{}"),
    Value::Text(""),
];

impl Value {
    fn text(self) -> String {
        match self {
            Value::Nested(depth) => "[".repeat(depth) + &"]".repeat(depth),
            Value::Unclosed(depth) => "[".repeat(depth),
            Value::Text(text) => text.into(),
        }
    }
}

/// An odd entry, by the numbers of its kind, of the field that is odd and of the value there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// The number of its kind.
    pub kind: usize,
    /// The number of the field; the whole entry is odd if there is none of that number.
    pub field: usize,
    /// The value.
    pub value: Value,
}

impl Entry {
    /// The prefix of its key.
    pub fn prefix(&self) -> &'static str {
        KINDS[self.kind % KINDS.len()].0
    }

    /// Its contents.
    pub fn contents(&self) -> String {
        let (_, fields) = KINDS[self.kind % KINDS.len()];
        if self.field >= fields.len() {
            return self.value.text();
        }
        let fields = fields.iter().enumerate().map(|(number, (name, proper))| {
            let value = match number == self.field {
                true => self.value.text(),
                false => (*proper).into(),
            };
            format!("\"{name}\":{value}")
        });
        let fields: Vec<String> = fields.collect();
        format!("{{{}}}", fields.join(","))
    }
}
