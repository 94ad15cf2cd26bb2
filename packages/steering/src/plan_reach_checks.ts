/**
 * Plans which targets an entry tries to connect to, besides its requests, to learn
 * which of them it can reach. One target that hangs is found by its silence. Once a
 * second one of the same data centre or service fails, a link is suspected, and the
 * others there that have not been heard since are tried too, so that requests don't
 * have to find out one by one. Unreachable targets are tried again until one accepts
 * a connection; the others of its data centre or service follow at once.
 */
import type { TargetState } from "./target_state.ts";

/** A target and what was tried at it. */
export interface ReachState {
  target: TargetState;
  /** Start of the latest check; -Infinity before the first. */
  checkedAtMillis: number;
  /** True while a check is under way. */
  checking: boolean;
}

/** Why a target is checked. */
export type ReachCheckReason =
  /** Requests wait there without a reaction. */
  | "silent"
  /** Others of its data centre or service can't be reached. */
  | "suspected"
  /** It could not be reached. */
  | "again";

/** A planned check. */
export interface ReachCheck {
  target: TargetState;
  reason: ReachCheckReason;
}

/** Time without a reaction from which a target counts as silent. */
const SILENCE_MILLIS = 400;
/** Minimum time between two checks of a silent target. */
const SILENT_RECHECK_MILLIS = 2000;
/** Minimum time between two checks of a suspected target. */
const SUSPECTED_RECHECK_MILLIS = 1000;
/** How long a failed connection counts as evidence against a link. */
const EVIDENCE_MILLIS = 2000;
/** Targets of one data centre or service that must fail before its link is suspected. */
const MIN_FAILED_TARGETS = 2;
/** Interval of the checks of one unreachable target; doubles up to the maximum. */
const INITIAL_RECHECK_MILLIS = 300;
const MAX_RECHECK_MILLIS = 3000;
/** Maximum checks under way. */
const MAX_CHECKS = 24;
/** Checks of unreachable targets planned at once, unless one of a group is back. */
const MAX_AGAIN_PER_PLAN = 1;

/** Plans the next checks; `silentCheckAllowed` bounds those of silent targets. */
export function planReachChecks(
  states: readonly ReachState[],
  options: { nowMillis: number; silentCheckAllowed: boolean },
): ReachCheck[] {
  const { nowMillis } = options;
  const failed = new Map<string, number>();
  const heard = new Map<string, number>();
  const back = new Map<string, number>();
  for (const { target } of states) {
    const since = target.unreachableSinceMillis;
    for (const group of groupsOf(target)) {
      if (since !== undefined) {
        if (nowMillis - since < EVIDENCE_MILLIS) {
          failed.set(group, (failed.get(group) ?? 0) + 1);
        }
        continue;
      }
      raise(heard, group, target.contactAtMillis);
      raise(back, group, target.reachedAgainAtMillis);
    }
  }
  const checks: ReachCheck[] = [];
  let again = 0;
  let silent: ReachState | undefined;
  for (const state of rotate(states, nowMillis)) {
    const { target } = state;
    if (state.checking || target.isLeaving()) continue;
    const groups = groupsOf(target);
    const sinceCheckMillis = nowMillis - state.checkedAtMillis;
    if (target.isUnreachable) {
      const isGroupBack = groups.some((group) =>
        (back.get(group) ?? -Infinity) > state.checkedAtMillis
      );
      const intervalMillis = Math.min(
        MAX_RECHECK_MILLIS,
        INITIAL_RECHECK_MILLIS * 2 ** Math.min(8, target.connectFailures - 1),
      );
      if (isGroupBack) checks.push({ target, reason: "again" });
      else if (
        sinceCheckMillis >= intervalMillis && again < MAX_AGAIN_PER_PLAN
      ) {
        again++;
        checks.push({ target, reason: "again" });
      }
      continue;
    }
    const isSuspected = groups.some((group) =>
      (failed.get(group) ?? 0) >= MIN_FAILED_TARGETS
    );
    const sinceContactMillis = nowMillis - target.contactAtMillis;
    if (
      isSuspected && sinceContactMillis >= SILENCE_MILLIS &&
      sinceCheckMillis >= SUSPECTED_RECHECK_MILLIS
    ) {
      checks.push({ target, reason: "suspected" });
      continue;
    }
    if (
      unansweredMillis(target, nowMillis) >= SILENCE_MILLIS &&
      sinceCheckMillis >= SILENT_RECHECK_MILLIS &&
      groups.some((group) =>
        nowMillis - (heard.get(group) ?? -Infinity) >= SILENCE_MILLIS
      ) &&
      unansweredMillis(target, nowMillis) >
        (silent ? unansweredMillis(silent.target, nowMillis) : 0)
    ) silent = state;
  }
  if (silent && options.silentCheckAllowed) {
    checks.push({ target: silent.target, reason: "silent" });
  }
  const underWay = states.filter(({ checking }) => checking).length;
  return checks.slice(0, Math.max(0, MAX_CHECKS - underWay));
}

function groupsOf(target: TargetState): string[] {
  const { dataCentre, service } = target.record;
  return [`data centre ${dataCentre}`, `service ${service}`];
}

function unansweredMillis(target: TargetState, nowMillis: number): number {
  const sinceMillis = target.unansweredSinceMillis;
  return sinceMillis === undefined ? 0 : nowMillis - sinceMillis;
}

function raise(map: Map<string, number>, key: string, value: number): void {
  map.set(key, Math.max(map.get(key) ?? -Infinity, value));
}

/** Starts at another item each time, so that none is always last. */
function rotate<T>(items: readonly T[], turn: number): T[] {
  const start = Math.floor(turn) % Math.max(1, items.length);
  return [...items.slice(start), ...items.slice(0, start)];
}
