//! Interactive shell with line editing and a history.

use std::path::PathBuf;

use rustyline::DefaultEditor;
use rustyline::error::ReadlineError;

/// Prompt for the first line of a statement.
const PROMPT: &str = "gingerkeel> ";
/// Prompt for further lines of a statement.
const CONTINUATION: &str = "        ... ";
/// History file in the home directory.
const HISTORY_FILE: &str = ".gingerkeel_history";
/// Commands that exit the shell.
const QUIT: [&str; 2] = ["exit", "quit"];

/// Reads statements until the end of input and passes each to `execute`. A line that ends with `;`
/// or an empty line completes the input.
///
/// # Errors
/// Returns a [`ReadlineError`] if reading from the terminal fails.
pub fn run(mut execute: impl FnMut(&str)) -> Result<(), ReadlineError> {
    let mut editor = DefaultEditor::new()?;
    let history = std::env::home_dir().map(|home| home.join(HISTORY_FILE));
    load_history(&mut editor, history.as_ref());
    let mut text = String::new();
    loop {
        let prompt = if text.is_empty() { PROMPT } else { CONTINUATION };
        match editor.readline(prompt) {
            Ok(line) if text.is_empty() && is_quit(&line) => break,
            Ok(line) => read_line(&line, &mut text, &mut editor, &mut execute)?,
            Err(ReadlineError::Interrupted) => text.clear(),
            Err(ReadlineError::Eof) => break,
            Err(error) => return Err(error),
        }
    }
    if !text.trim().is_empty() {
        execute(&text);
    }
    if let Some(history) = history {
        // If the home directory is not writable, only the history is lost.
        let _ = editor.save_history(&history);
    }
    Ok(())
}

fn load_history(editor: &mut DefaultEditor, history: Option<&PathBuf>) {
    if let Some(history) = history {
        // The file does not exist before the first run.
        let _ = editor.load_history(history);
    }
}

fn is_quit(line: &str) -> bool {
    let word = line.trim().trim_end_matches(';').to_ascii_lowercase();
    QUIT.contains(&word.as_str())
}

fn read_line(
    line: &str,
    text: &mut String,
    editor: &mut DefaultEditor,
    execute: &mut impl FnMut(&str),
) -> Result<(), ReadlineError> {
    text.push_str(line);
    text.push('\n');
    let complete = line.trim_end().ends_with(';') || line.trim().is_empty();
    if !complete {
        return Ok(());
    }
    if !text.trim().is_empty() {
        editor.add_history_entry(text.trim())?;
        execute(text);
    }
    text.clear();
    Ok(())
}
