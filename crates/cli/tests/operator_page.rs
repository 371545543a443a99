//! Executes all examples of the operator documentation in order on a new cluster.

mod support;

use std::fs;

use support::{run, start_control, stderr, stdout};

const PAGE: &str = include_str!("../../../docs/operate/statements.md");
/// Info string of code blocks with accepted statements.
const ACCEPTED: &str = "gingerkeel";
/// Info string of code blocks whose last statement is refused.
const REFUSED: &str = "gingerkeel refused";
/// Info string of code blocks with the output of the preceding statements.
const OUTPUT: &str = "text";

struct Block {
    fence: String,
    text: String,
}

fn blocks() -> Vec<Block> {
    let mut blocks = Vec::new();
    let mut open: Option<Block> = None;
    for line in PAGE.lines() {
        match (line.strip_prefix("```"), &mut open) {
            (Some(fence), None) => {
                open = Some(Block { fence: fence.to_owned(), text: String::new() })
            }
            (Some(_), Some(_)) => blocks.extend(open.take()),
            (None, Some(block)) => block.text.push_str(&format!("{line}\n")),
            (None, None) => {}
        }
    }
    blocks
}

#[test]
fn examples_do_what_the_page_says() {
    let process = start_control();
    let control = process.address;
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("example.txt");
    let mut said = String::new();
    let mut examples = 0;
    for block in blocks() {
        let expected_code = match block.fence.as_str() {
            ACCEPTED => 0,
            REFUSED => 1,
            OUTPUT => {
                assert_eq!(said, block.text, "output differs from the page");
                continue;
            }
            other => panic!("fence `{other}` is of no kind that is carried out"),
        };
        fs::write(&file, &block.text).unwrap();
        let output = run(&[control], &["--session", "anna", "--file", file.to_str().unwrap()]);
        said = stdout(&output) + &stderr(&output);
        assert_eq!(output.status.code(), Some(expected_code), "{}\n{said}", block.text);
        examples += 1;
    }
    assert!(examples > 15, "only {examples} examples were found");
}

#[test]
fn page_shows_every_statement_of_the_grammar() {
    let grammar = gingerkeel_statement::GRAMMAR;
    let examples: Vec<String> = blocks()
        .into_iter()
        .filter(|block| block.fence.starts_with(ACCEPTED))
        .map(|block| block.text.to_ascii_uppercase())
        .collect();
    let examples = examples.join("\n");
    let keywords = grammar
        .lines()
        .filter_map(|line| line.strip_prefix("kw_"))
        .filter_map(|line| line.split('"').nth(1));
    let missing: Vec<&str> = keywords.filter(|keyword| !examples.contains(keyword)).collect();
    assert!(missing.is_empty(), "no example of {missing:?}");
}
