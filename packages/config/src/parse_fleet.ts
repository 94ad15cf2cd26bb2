/**
 * Parses and checks the fleet configuration.
 */
import type { FleetConfig } from "@bamboolane/types/fleet";
import { err, ok, type Result } from "neverthrow";
import { checkFleet } from "./check_fleet.ts";
import { fleetSchema } from "./fleet_schema.ts";
import { type ConfigProblem, parseYaml } from "./parse_yaml.ts";

/**
 * Parses a fleet document. Returns all problems of the first check that
 * fails: YAML syntax, schema, or cross-field rules.
 */
export function parseFleet(
  text: string,
  options: { file: string },
): Result<FleetConfig, ConfigProblem[]> {
  return parseYaml(text, fleetSchema, options).andThen((parsed) => {
    const fleet = parsed.value as FleetConfig;
    const problems = checkFleet(fleet);
    if (problems.length === 0) return ok(fleet);
    return err(problems.map((problem) => ({
      file: options.file,
      line: parsed.findLine(problem.path),
      field: problem.path.join("."),
      expected: problem.expected,
    })));
  });
}
