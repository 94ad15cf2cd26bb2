/**
 * Paces the bytes sent to other regions according to the configured link rates.
 */
import { LinkBudget } from "@bamboolane/route/link_budget";
import type { FleetConfig, Lane } from "@bamboolane/types/fleet";
import type { EntryContext } from "./context.ts";

/** Paces what this instance sends to each other region. */
export class LinkPacer {
  readonly #context: EntryContext;
  readonly #budgets = new Map<string, LinkBudget>();

  constructor(context: EntryContext) {
    this.#context = context;
  }

  /**
   * Applies the link rates; each link is divided among `instanceCount`
   * instances of this region.
   */
  configure(fleet: FleetConfig, options: { instanceCount: number }): void {
    const ownRegion = this.#context.settings.instance.region;
    for (const link of fleet.links) {
      if (!link.between.includes(ownRegion)) continue;
      const other = link.between[0] === ownRegion
        ? link.between[1]
        : link.between[0];
      const bytesPerSecond = link.bytesPerSecond /
        Math.max(1, options.instanceCount);
      const known = this.#budgets.get(other);
      if (known) known.setRate(bytesPerSecond);
      else {
        const nowMillis = this.#context.clock.nowMillis();
        this.#budgets.set(other, new LinkBudget({ bytesPerSecond, nowMillis }));
      }
    }
  }

  /**
   * Resolves when `bytes` may be sent to `region`; at once for interactive
   * requests, within the own region, and where no link rate is configured.
   */
  async pace(
    bytes: number,
    lane: Lane,
    options: { region: string },
  ): Promise<void> {
    const { region } = options;
    const budget = this.#budgets.get(region);
    if (
      budget === undefined || region === this.#context.settings.instance.region
    ) return;
    for (;;) {
      const waitMillis = budget.take(bytes, lane, {
        nowMillis: this.#context.clock.nowMillis(),
      });
      if (waitMillis === 0) break;
      await new Promise((resolve) => setTimeout(resolve, waitMillis));
    }
    this.#context.metrics.count("bamboolane_link_bytes", bytes, {
      region,
      lane,
    });
  }
}
