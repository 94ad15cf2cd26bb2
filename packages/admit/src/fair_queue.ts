/**
 * Start-time fair queueing over members: while a member has work waiting, its
 * share of the admissions follows its weight; unused shares go to the others.
 */

/** An item in a queue. */
export interface QueueItem {
  id: string;
  member: string;
}

interface Tagged<T> {
  item: T;
  /** Virtual time at which the item's turn starts. */
  startTag: number;
}

/** Queue of one lane. */
export class FairQueue<T extends QueueItem> {
  readonly #waiting = new Map<string, Tagged<T>[]>();
  readonly #lastFinish = new Map<string, number>();
  readonly #weightOf: (member: string) => number;
  #virtualTime = 0;
  #size = 0;

  constructor(options: { weightOf: (member: string) => number }) {
    this.#weightOf = options.weightOf;
  }

  get size(): number {
    return this.#size;
  }

  push(item: T): void {
    const start = this.#charge(item.member);
    const list = this.#waiting.get(item.member) ?? [];
    list.push({ item, startTag: start });
    this.#waiting.set(item.member, list);
    this.#size++;
  }

  /** Charges a member for a request that was admitted without queueing. */
  chargeDirect(member: string): void {
    this.#charge(member);
  }

  /** Returns the next item without removing it. */
  peek(): T | undefined {
    return this.#head()?.[0].item;
  }

  pop(): T | undefined {
    const list = this.#head();
    const tagged = list?.shift();
    if (list === undefined || tagged === undefined) return undefined;
    if (list.length === 0) this.#waiting.delete(tagged.item.member);
    this.#virtualTime = Math.max(this.#virtualTime, tagged.startTag);
    this.#size--;
    if (this.#size === 0) this.#lastFinish.clear();
    return tagged.item;
  }

  /**
   * Removes and returns every item that `matches`; their members stay charged
   * for them.
   */
  remove(matches: (item: T) => boolean): T[] {
    const removed: T[] = [];
    for (const [member, list] of this.#waiting) {
      const kept = list.filter((tagged) => !matches(tagged.item));
      if (kept.length === list.length) continue;
      for (const tagged of list) {
        if (matches(tagged.item)) removed.push(tagged.item);
      }
      if (kept.length === 0) this.#waiting.delete(member);
      else this.#waiting.set(member, kept);
    }
    this.#size -= removed.length;
    return removed;
  }

  /** Returns the member with the most waiting items; undefined for an empty queue. */
  longestMember(): string | undefined {
    let memberWithMostWaiting: string | undefined;
    for (const [member, list] of this.#waiting) {
      if (
        memberWithMostWaiting === undefined ||
        list.length > this.sizeOf(memberWithMostWaiting)
      ) {
        memberWithMostWaiting = member;
      }
    }
    return memberWithMostWaiting;
  }

  /** Removes and returns a member's newest item; its charge is taken back. */
  popNewest(member: string): T | undefined {
    const list = this.#waiting.get(member);
    const tagged = list?.pop();
    if (list === undefined || tagged === undefined) return undefined;
    this.#lastFinish.set(member, tagged.startTag);
    if (list.length === 0) this.#waiting.delete(member);
    this.#size--;
    return tagged.item;
  }

  /** Number of waiting items of a member. */
  sizeOf(member: string): number {
    return this.#waiting.get(member)?.length ?? 0;
  }

  /** Charges a member for one item, by its weight; returns the item's start tag. */
  #charge(member: string): number {
    const start = Math.max(
      this.#virtualTime,
      this.#lastFinish.get(member) ?? 0,
    );
    this.#lastFinish.set(member, start + 1 / this.#weightOf(member));
    return start;
  }

  /** Items of the member whose turn is next. */
  #head(): Tagged<T>[] | undefined {
    let best: Tagged<T>[] | undefined;
    for (const list of this.#waiting.values()) {
      if (best === undefined || list[0].startTag < best[0].startTag) {
        best = list;
      }
    }
    return best;
  }
}
