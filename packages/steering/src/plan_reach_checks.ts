/**
 * Plans which targets an entry tries to connect to, besides its requests, to learn
 * which of them it can reach. One target that hangs is found by its silence. Once a
 * second one of the same data centre or service fails, a link is suspected, and the
 * others there that have not been heard since are tried too, so that requests don't
 * have to find out one by one. Once targets of several data centres fail and none at
 * all is heard, it is the entry that is cut off, and no other target is waited for.
 * Unreachable targets are tried again until one accepts a connection; the others of its
 * data centre or service follow at once.
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

/** Time without an answer from which a target or a group of them is not known to be reachable. */
const SILENCE_MILLIS = 400;
/** Minimum time between two checks of a silent target. */
const SILENT_RECHECK_MILLIS = 2000;
/** Minimum time between two checks of a suspected target. */
const SUSPECTED_RECHECK_MILLIS = 1000;
/** How long a failed connection counts as evidence against a link. */
const EVIDENCE_MILLIS = 2000;
/** Targets of one data centre or service that must fail before its link is suspected. */
const MIN_FAILED_TARGETS = 2;
/** Targets that must fail, of several data centres, before the entry counts as cut off. */
const MIN_FAILED_IF_CUT_OFF = 3;
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
  const isCalm = states.every(({ target }) =>
    !target.isUnreachable && !target.isSilent(nowMillis)
  );
  if (isCalm) return [];
  const groups = summarizeGroups(states, nowMillis);
  const checks: ReachCheck[] = [];
  let again = 0;
  let silent: ReachState | undefined;
  for (const state of rotate(states, nowMillis)) {
    const { target } = state;
    if (state.checking || target.isLeaving()) continue;
    const { dataCentre, service } = target.record;
    const own = [
      groups.dataCentres.get(dataCentre) as GroupState,
      groups.services.get(service) as GroupState,
    ];
    const sinceCheckMillis = nowMillis - state.checkedAtMillis;
    if (target.isUnreachable) {
      const isGroupBack = own.some(({ backAtMillis }) =>
        backAtMillis > state.checkedAtMillis
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
    const isSuspected = own.some(({ failed }) => failed >= MIN_FAILED_TARGETS);
    const sinceContactMillis = nowMillis - target.contactAtMillis;
    if (
      isSuspected && sinceContactMillis >= SILENCE_MILLIS &&
      sinceCheckMillis >= SUSPECTED_RECHECK_MILLIS
    ) {
      checks.push({ target, reason: "suspected" });
      continue;
    }
    if (
      target.isSilent(nowMillis) &&
      sinceCheckMillis >= SILENT_RECHECK_MILLIS &&
      own.some(({ heardAtMillis }) =>
        nowMillis - heardAtMillis >= SILENCE_MILLIS
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

/**
 * Returns the targets that an entry which is cut off can't reach either, besides those
 * whose connections failed; none unless it is cut off.
 */
export function findCutOffTargets(
  targets: readonly TargetState[],
  nowMillis: number,
): TargetState[] {
  const failed = targets.filter(({ unreachableSinceMillis = -Infinity }) =>
    nowMillis - unreachableSinceMillis < EVIDENCE_MILLIS
  );
  const dataCentres = new Set(failed.map(({ record }) => record.dataCentre));
  if (failed.length < MIN_FAILED_IF_CUT_OFF || dataCentres.size < 2) return [];
  const isHeard = targets.some(({ contactAtMillis }) =>
    nowMillis - contactAtMillis < SILENCE_MILLIS
  );
  return isHeard ? [] : targets.filter(({ isUnreachable }) => !isUnreachable);
}

/** Evidence from all targets of one data centre or service. */
interface GroupState {
  /** Targets whose connections began to fail a short time ago. */
  failed: number;
  /** When a reachable target was last heard. */
  heardAtMillis: number;
  /** When a target last became reachable again. */
  backAtMillis: number;
}

interface Groups {
  dataCentres: Map<string, GroupState>;
  services: Map<string, GroupState>;
}

function summarizeGroups(
  states: readonly ReachState[],
  nowMillis: number,
): Groups {
  const groups: Groups = { dataCentres: new Map(), services: new Map() };
  for (const { target } of states) {
    const { dataCentre, service } = target.record;
    const ownGroups = [
      groupOf(groups.dataCentres, dataCentre),
      groupOf(groups.services, service),
    ];
    for (const group of ownGroups) addEvidence(group, { target, nowMillis });
  }
  return groups;
}

function groupOf(groups: Map<string, GroupState>, key: string): GroupState {
  let group = groups.get(key);
  if (group === undefined) {
    group = { failed: 0, heardAtMillis: -Infinity, backAtMillis: -Infinity };
    groups.set(key, group);
  }
  return group;
}

function addEvidence(
  group: GroupState,
  { target, nowMillis }: { target: TargetState; nowMillis: number },
): void {
  const sinceMillis = target.unreachableSinceMillis;
  if (sinceMillis === undefined) {
    group.heardAtMillis = Math.max(group.heardAtMillis, target.contactAtMillis);
    group.backAtMillis = Math.max(
      group.backAtMillis,
      target.reachedAgainAtMillis,
    );
  } else if (nowMillis - sinceMillis < EVIDENCE_MILLIS) group.failed++;
}

function unansweredMillis(target: TargetState, nowMillis: number): number {
  const sinceMillis = target.unansweredSinceMillis;
  return sinceMillis === undefined ? 0 : nowMillis - sinceMillis;
}

/** Starts at another item each time, so that none is always last. */
function rotate<T>(items: readonly T[], turn: number): T[] {
  const start = Math.floor(turn) % Math.max(1, items.length);
  return [...items.slice(start), ...items.slice(0, start)];
}
