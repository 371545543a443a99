//! Formatting of replies for terminals.

use gingerkeel_statement::StatementReply;

/// Prints one reply. Refusals and unknown outcomes go to standard error.
pub fn print(reply: &StatementReply) {
    match reply {
        StatementReply::Accepted { revision } => println!("accepted at revision {revision}"),
        StatementReply::Table { columns, rows } => print_table(columns, rows),
        StatementReply::Unknown { error } => eprintln!("outcome unknown: {error}"),
        StatementReply::Refused { error } => eprintln!("refused: {error}"),
    }
}

fn print_table(columns: &[String], rows: &[Vec<String>]) {
    let widths: Vec<usize> = columns
        .iter()
        .enumerate()
        .map(|(index, column)| {
            let cells = rows.iter().map(|row| row[index].chars().count());
            cells.chain([column.chars().count()]).max().unwrap_or_default()
        })
        .collect();
    print_row(columns, &widths);
    rows.iter().for_each(|row| print_row(row, &widths));
}

fn print_row(cells: &[String], widths: &[usize]) {
    let padded: Vec<String> =
        cells.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}")).collect();
    println!("{}", padded.join("  ").trim_end());
}
