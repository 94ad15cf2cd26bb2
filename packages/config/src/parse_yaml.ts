/**
 * Parses YAML against a zod schema. Every problem names the file, line,
 * field and what was expected.
 */
import { err, ok, type Result } from "neverthrow";
import { isNode, LineCounter, parseDocument } from "yaml";
import type { z } from "zod";

/** One problem in a document. */
export interface ConfigProblem {
  file: string;
  /** Line number, counted from 1. */
  line: number;
  /** Dotted path of the field; empty for the whole document. */
  field: string;
  /** What was expected, or the YAML parser's message. */
  expected: string;
}

/** Formats a problem as `file:line: field: expected`. */
export function formatProblem(problem: ConfigProblem): string {
  const field = problem.field === "" ? "document" : problem.field;
  return `${problem.file}:${problem.line}: ${field}: ${problem.expected}`;
}

type Document = ReturnType<typeof parseDocument>;

/** Finds the line of a field, or of its nearest parent in the document. */
function findLine(
  document: Document,
  path: PropertyKey[],
  counter: LineCounter,
): number {
  for (let length = path.length; length > 0; length--) {
    const node = document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) return counter.linePos(node.range[0]).line;
  }
  return 1;
}

/** Returns the line of a field, for problems found after parsing. */
export type FindLine = (path: PropertyKey[]) => number;

/** A parsed document with a function that locates its fields. */
export interface Parsed<T> {
  value: T;
  findLine: FindLine;
}

/** Parses `text` and checks it against `schema`. */
export function parseYaml<S extends z.ZodType>(
  text: string,
  schema: S,
  options: { file: string },
): Result<Parsed<z.output<S>>, ConfigProblem[]> {
  const { file } = options;
  const counter = new LineCounter();
  const document = parseDocument(text, { lineCounter: counter });
  if (document.errors.length > 0) {
    return err(document.errors.map((error) => ({
      file,
      line: counter.linePos(error.pos[0]).line,
      field: "",
      expected: error.message.split("\n")[0],
    })));
  }
  const locate: FindLine = (path) => findLine(document, path, counter);
  const checked = schema.safeParse(document.toJS());
  if (checked.success) return ok({ value: checked.data, findLine: locate });
  return err(checked.error.issues.map((issue) => ({
    file,
    line: locate(issue.path),
    field: issue.path.join("."),
    expected: issue.message,
  })));
}
