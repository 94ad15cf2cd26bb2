/**
 * Operators' edits of the fleet configuration as pure functions. Each throws
 * a {@link SteeringError} that names what to correct.
 */
import type {
  Drain,
  FleetConfig,
  FleetException,
  Move,
} from "@bamboolane/types/fleet";
import { MoveState } from "@bamboolane/types/fleet";
import { ResultCode } from "@bamboolane/errors/result_code";
import { SteeringError } from "@bamboolane/errors/steering_error";
import { checkFleet } from "@bamboolane/config/check_fleet";
import {
  drainSchema,
  exceptionSchema,
  moveSchema,
} from "@bamboolane/config/fleet_schema";
import type { z } from "zod";

/** Actions of an operator on a planned move. */
export type MoveAction = "advance" | "pause" | "resume" | "abort" | "finish";

/** An edit of the fleet configuration. */
export type FleetEdit =
  | { kind: "replace"; fleet: FleetConfig }
  | { kind: "exception-add"; exception: FleetException }
  | { kind: "exception-retire"; id: string }
  | { kind: "drain-add"; drain: Drain }
  | { kind: "drain-remove"; id: string }
  | { kind: "move-plan"; move: Move }
  | { kind: "move"; id: string; action: MoveAction };

function invalid(detail: string): SteeringError {
  return new SteeringError(ResultCode.invalidConfiguration, detail);
}

function validate<S extends z.ZodType>(schema: S, value: unknown): z.output<S> {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const problems = result.error.issues.map((i) =>
    `${i.path.join(".")}: ${i.message}`
  );
  throw invalid(problems.join("; "));
}

function requireFleet(fleet: FleetConfig | undefined): FleetConfig {
  if (fleet === undefined) {
    throw new SteeringError(
      ResultCode.noConfiguration,
      "Publish a configuration first.",
    );
  }
  return fleet;
}

function removeById<T extends { id: string }>(
  list: T[],
  id: string,
  kind: string,
): T[] {
  const rest = list.filter((item) => item.id !== id);
  if (rest.length === list.length) {
    throw new SteeringError(ResultCode.notFound, `No ${kind} "${id}".`);
  }
  return rest;
}

function applyMoveAction(move: Move, action: MoveAction): Move {
  const ended = move.state === MoveState.done ||
    move.state === MoveState.aborted;
  if (ended) throw invalid(`Move "${move.id}" has ended (${move.state}).`);
  switch (action) {
    case "advance": {
      if (move.state === MoveState.paused) {
        throw invalid(`Move "${move.id}" is paused; resume it first.`);
      }
      const step = move.step + 1;
      if (step >= move.steps.length) {
        throw invalid(`Move "${move.id}" is at its last step.`);
      }
      return { ...move, step, state: MoveState.running };
    }
    case "pause":
      return { ...move, state: MoveState.paused };
    case "resume":
      return { ...move, state: MoveState.running };
    case "abort":
      return { ...move, state: MoveState.aborted };
    case "finish":
      return { ...move, state: MoveState.done };
  }
}

function applyEdit(
  current: FleetConfig | undefined,
  edit: FleetEdit,
): FleetConfig {
  if (edit.kind === "replace") return edit.fleet;
  const fleet = requireFleet(current);
  switch (edit.kind) {
    case "exception-add": {
      const exception = validate(exceptionSchema, edit.exception);
      return { ...fleet, exceptions: [...fleet.exceptions, exception] };
    }
    case "exception-retire":
      return {
        ...fleet,
        exceptions: removeById(fleet.exceptions, edit.id, "exception"),
      };
    case "drain-add": {
      const drain = validate(drainSchema, edit.drain);
      if (
        fleet.drains.some((d) => d.id === drain.id && d.kind === drain.kind)
      ) {
        throw invalid(`"${drain.id}" is already being drained.`);
      }
      return { ...fleet, drains: [...fleet.drains, drain] };
    }
    case "drain-remove":
      return { ...fleet, drains: removeById(fleet.drains, edit.id, "drain") };
    case "move-plan":
      return {
        ...fleet,
        moves: [...fleet.moves, validate(moveSchema, edit.move)],
      };
    case "move": {
      if (!fleet.moves.some((move) => move.id === edit.id)) {
        throw new SteeringError(ResultCode.notFound, `No move "${edit.id}".`);
      }
      const moves = fleet.moves.map((move) =>
        move.id === edit.id ? applyMoveAction(move, edit.action) : move
      );
      return { ...fleet, moves };
    }
  }
}

/** Applies an edit and checks the whole result; throws a {@link SteeringError}. */
export function editFleet(
  current: FleetConfig | undefined,
  edit: FleetEdit,
): FleetConfig {
  const fleet = applyEdit(current, edit);
  const problems = checkFleet(fleet);
  if (problems.length === 0) return fleet;
  throw invalid(
    problems.map((p) => `${p.path.join(".")}: ${p.expected}`).join("; "),
  );
}
