//! Plain tables for terminals.

/// Rows under a header, in columns as wide as their widest cell.
pub fn render(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let header: Vec<String> = header.iter().map(|cell| (*cell).to_string()).collect();
    let mut out = line(&header, &widths);
    for row in rows {
        out.push_str(&line(row, &widths));
    }
    out
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let mut text = String::new();
    for (cell, width) in cells.iter().zip(widths) {
        text.push_str(&format!("{cell:<width$}  "));
    }
    format!("{}\n", text.trim_end())
}
