/**
 * Publishes a change and waits until each instance either has it in force or
 * must have detected that it is cut off.
 */
import type { ConfigChange } from "@bamboolane/agree/publish_revision";
import type { InstanceListPort } from "@bamboolane/platform/ports";
import type { ConfigTask } from "./config_task.ts";
import type { EntryContext } from "./context.ts";
import type { MembershipTask } from "./membership_task.ts";

/** Whether one instance has a published revision in force. */
export interface InstanceRevisionStatus {
  instance: string;
  dataCentre: string;
  /**
   * `cut-off` if the revision is not known to be in force there; after the
   * deadline the instance must have detected that it is cut off.
   */
  status: "in-force" | "cut-off";
  /** Newest revision known to be in force there; 0 if none is known. */
  revision: number;
}

/** Result of a publication. */
export interface PublishResult {
  revision: number;
  hash: string;
  changeId: string;
  /** Time from the request to the last confirmation or the deadline. */
  elapsedMillis: number;
  instances: InstanceRevisionStatus[];
}

/** Options of {@link publishAndWait}. */
export interface PublishOptions {
  context: EntryContext;
  config: ConfigTask;
  membership: MembershipTask;
  instances: InstanceListPort;
}

const POLL_INTERVAL_MILLIS = 10;
/** Added to the freshness period, because timers may fire late. */
const DEADLINE_MARGIN_MILLIS = 250;

/**
 * Instances that may be running, with their data centres: those in the
 * membership table, even if considered dead, and those that the platform lists
 * and does not mark as leaving.
 */
async function expectedInstances(
  options: PublishOptions,
): Promise<Map<string, string>> {
  const expected = new Map<string, string>();
  for (const record of options.membership.table.all()) {
    expected.set(record.id, record.dataCentre);
  }
  const listed = await options.instances.list().catch(() => []);
  for (const item of listed) {
    if (!item.leaving && item.kind !== "target") {
      expected.set(item.id, item.dataCentre);
    }
  }
  return expected;
}

function assessInstances(
  expected: ReadonlyMap<string, string>,
  revision: number,
  options: PublishOptions,
): InstanceRevisionStatus[] {
  return [...expected].map(([instance, dataCentre]) => {
    const knownRevision = options.membership.table.get(instance)?.revision ?? 0;
    const status = knownRevision >= revision ? "in-force" : "cut-off";
    return { instance, dataCentre, status, revision: knownRevision };
  });
}

/**
 * Publishes a change and waits for all instances; rejects if the change was not
 * published or is in doubt.
 */
export async function publishAndWait(
  change: ConfigChange,
  options: PublishOptions,
): Promise<PublishResult> {
  const { context, config } = options;
  const startedAtMillis = context.clock.nowMillis();
  const published = await config.publish(change);
  const { revision, hash, changeId } = published.head;
  const deadlineMillis = context.clock.nowMillis() +
    context.settings.timers.freshnessMillis +
    DEADLINE_MARGIN_MILLIS;
  const expected = await expectedInstances(options);
  let instances = assessInstances(expected, revision, options);
  while (
    instances.some((i) => i.status === "cut-off") &&
    context.clock.nowMillis() < deadlineMillis
  ) {
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MILLIS));
    instances = assessInstances(expected, revision, options);
  }
  const elapsedMillis = Math.round(context.clock.nowMillis() - startedAtMillis);
  const cutOff = instances.filter((i) => i.status === "cut-off").map((i) =>
    i.instance
  );
  context.log.info("published", {
    revision,
    change: changeId,
    elapsedMillis,
    inForce: instances.length - cutOff.length,
    cutOff: cutOff.join(",") || "none",
  });
  return { revision, hash, changeId, elapsedMillis, instances };
}
