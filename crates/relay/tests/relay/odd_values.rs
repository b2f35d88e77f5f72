//! Values that no writer of the platform writes, for tests of what reads entries and messages.

/// JSON texts: nests, numbers beyond every type, and values of other types.
pub(crate) fn texts() -> Vec<String> {
    let nest =
        |open: &str, close: &str, depth: usize| open.repeat(depth) + "0" + &close.repeat(depth);
    let mut found: Vec<String> = [100, 130, 10_000, 100_000]
        .into_iter()
        .flat_map(|depth| [nest("[", "]", depth), nest("{\"a\":", "}", depth)])
        .collect();
    found.push("[".repeat(200_000));
    found.push(format!("{:?}", "x".repeat(600_000)));
    let short = [
        "0",
        "-0.0",
        "-1",
        "1e21",
        "-1e300",
        "1e300",
        "1e400",
        "1.8e19",
        "1.8e22",
        "4294967295",
        "4294967296",
        "9007199254740993",
        "9223372036854775808",
        "18446744073709551615",
        "18446744073709551616",
        "0.5",
        "70000",
        "null",
        "true",
        "[]",
        "{}",
        "\"\"",
        "\"NaN\"",
        "\"1e400\"",
        "\"\\ud800\"",
        "\"\\u0000\"",
        "NaN",
        "\"127.0.0.1:0\"",
        "\"127.0.0.1:70000\"",
        "\"0.0.0.0:4000\"",
    ];
    found.extend(short.map(str::to_owned));
    found
}

/// An object in which each field has been replaced by each odd value, left out, and given twice.
pub(crate) fn objects(fields: &[(&str, &str)]) -> Vec<Vec<u8>> {
    let object = |fields: Vec<String>| format!("{{{}}}", fields.join(",")).into_bytes();
    let text = |(name, value): &(&str, &str)| format!("{name:?}:{value}");
    let usual = || fields.iter().map(text);
    let mut found = Vec::new();
    for (at, (name, _)) in fields.iter().enumerate() {
        for value in texts() {
            let mut changed: Vec<String> = usual().collect();
            changed[at] = format!("{name:?}:{value}");
            found.push(object(changed));
        }
        let mut lacking: Vec<String> = usual().collect();
        lacking.remove(at);
        found.push(object(lacking));
        let twice = usual().chain([text(&fields[at])]);
        found.push(object(twice.collect()));
    }
    found.extend(texts().into_iter().map(String::into_bytes));
    found.push(b"\xff\xfe{\"\x80\":1}".to_vec());
    found
}
