/**
 * Publishes a change and waits until each instance either has it in force or
 * must have noticed that it is cut off.
 */
import type { ConfigChange } from "@bamboolane/agree/publish_revision";
import type { InstanceListPort } from "@bamboolane/platform/ports";
import type { ConfigTask } from "./config_task.ts";
import type { EntryContext } from "./context.ts";
import type { MembershipTask } from "./membership_task.ts";

/** Where one instance stands. */
export interface InForceEntry {
  instance: string;
  dataCentre: string;
  status: "in-force" | "cut-off";
  revision: number;
}

/** Answer to a publication. */
export interface PublishResult {
  revision: number;
  hash: string;
  changeId: string;
  /** From the request to the last confirmation or deadline. */
  elapsedMillis: number;
  instances: InForceEntry[];
}

/** Options of {@link publishAndWait}. */
export interface PublishOptions {
  context: EntryContext;
  config: ConfigTask;
  membership: MembershipTask;
  instances: InstanceListPort;
}

const pollMillis = 10;
/** Added to the freshness deadline, for timers that fire late. */
const marginMillis = 250;

/** Instances that may act: those known to peers and those the platform lists. */
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

function assess(
  expected: ReadonlyMap<string, string>,
  revision: number,
  options: PublishOptions,
): InForceEntry[] {
  return [...expected].map(([instance, dataCentre]) => {
    const known = options.membership.table.get(instance)?.revision ?? 0;
    const status = known >= revision ? "in-force" : "cut-off";
    return { instance, dataCentre, status, revision: known };
  });
}

/** Publishes and waits; rejects where nothing was published. */
export async function publishAndWait(
  change: ConfigChange,
  options: PublishOptions,
): Promise<PublishResult> {
  const { context, config } = options;
  const startedAtMillis = context.clock.nowMillis();
  const published = await config.publish(change);
  const { revision, hash, changeId } = published.head;
  const deadline = context.clock.nowMillis() +
    context.settings.timers.freshnessMillis +
    marginMillis;
  const expected = await expectedInstances(options);
  let instances = assess(expected, revision, options);
  while (
    instances.some((i) => i.status === "cut-off") &&
    context.clock.nowMillis() < deadline
  ) {
    await new Promise((resolve) => setTimeout(resolve, pollMillis));
    instances = assess(expected, revision, options);
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
