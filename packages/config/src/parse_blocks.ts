/**
 * Parses client blocks: a line each, `CIDR SITE`; blank lines and lines that begin
 * with `#` are left out.
 */
import { err, ok, type Result } from "neverthrow";
import type { ClientBlock } from "@bamboolane/types/fleet";
import type { ConfigProblem } from "./parse_yaml.ts";

/** Returns the blocks, or a problem for each malformed line. */
export function parseBlocks(
  text: string,
  options: { file: string },
): Result<ClientBlock[], ConfigProblem[]> {
  const blocks: ClientBlock[] = [];
  const problems: ConfigProblem[] = [];
  text.split("\n").forEach((rawLine, index) => {
    const line = rawLine.trim();
    if (line === "" || line.startsWith("#")) return;
    const [cidr, site] = line.split(/\s+/);
    if (site === undefined) {
      problems.push({
        file: options.file,
        line: index + 1,
        field: "",
        expected: 'expected "CIDR SITE"',
      });
    } else blocks.push({ cidr, site });
  });
  return problems.length > 0 ? err(problems) : ok(blocks);
}
