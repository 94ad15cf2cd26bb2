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

/** What an operator may do to a move. */
export type MoveAction = "advance" | "pause" | "resume" | "abort" | "finish";

/** One edit. */
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

function check<S extends z.ZodType>(schema: S, value: unknown): z.output<S> {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const problems = result.error.issues.map((i) =>
    `${i.path.join(".")}: ${i.message}`
  );
  throw invalid(problems.join("; "));
}

function need(fleet: FleetConfig | undefined): FleetConfig {
  if (fleet === undefined) {
    throw new SteeringError(
      ResultCode.noConfiguration,
      "Publish a configuration first.",
    );
  }
  return fleet;
}

function without<T extends { id: string }>(
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

function actOnMove(move: Move, action: MoveAction): Move {
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

function apply(current: FleetConfig | undefined, edit: FleetEdit): FleetConfig {
  if (edit.kind === "replace") return edit.fleet;
  const fleet = need(current);
  switch (edit.kind) {
    case "exception-add": {
      const exception = check(exceptionSchema, edit.exception);
      return { ...fleet, exceptions: [...fleet.exceptions, exception] };
    }
    case "exception-retire":
      return {
        ...fleet,
        exceptions: without(fleet.exceptions, edit.id, "exception"),
      };
    case "drain-add": {
      const drain = check(drainSchema, edit.drain);
      if (
        fleet.drains.some((d) => d.id === drain.id && d.kind === drain.kind)
      ) {
        throw invalid(`"${drain.id}" is being drained already.`);
      }
      return { ...fleet, drains: [...fleet.drains, drain] };
    }
    case "drain-remove":
      return { ...fleet, drains: without(fleet.drains, edit.id, "drain") };
    case "move-plan":
      return {
        ...fleet,
        moves: [...fleet.moves, check(moveSchema, edit.move)],
      };
    case "move": {
      if (!fleet.moves.some((move) => move.id === edit.id)) {
        throw new SteeringError(ResultCode.notFound, `No move "${edit.id}".`);
      }
      const moves = fleet.moves.map((move) =>
        move.id === edit.id ? actOnMove(move, edit.action) : move
      );
      return { ...fleet, moves };
    }
  }
}

/** Applies an edit and checks the result as a whole. */
export function editFleet(
  current: FleetConfig | undefined,
  edit: FleetEdit,
): FleetConfig {
  const fleet = apply(current, edit);
  const problems = checkFleet(fleet);
  if (problems.length === 0) return fleet;
  throw invalid(
    problems.map((p) => `${p.path.join(".")}: ${p.expected}`).join("; "),
  );
}
