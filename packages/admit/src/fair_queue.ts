/**
 * Start-time fair queueing over members: each member's share of grants
 * follows its weight while it has work waiting; idle shares are lent out.
 */

/** Anything that waits in a queue. */
export interface QueueItem {
  id: string;
  member: string;
}

interface Tagged<T> {
  item: T;
  startTag: number;
}

/** One lane's queue. */
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

  /** Charges a member for a grant that didn't have to wait. */
  chargeDirect(member: string): void {
    this.#charge(member);
  }

  /** The item that is next in turn. */
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

  /** Takes out every item that `matches`. */
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

  /** The member with most waiting items; undefined for an empty queue. */
  longest(): string | undefined {
    let longest: string | undefined;
    for (const [member, list] of this.#waiting) {
      if (longest === undefined || list.length > this.sizeOf(longest)) {
        longest = member;
      }
    }
    return longest;
  }

  /** Takes out a member's newest item. */
  popNewest(member: string): T | undefined {
    const list = this.#waiting.get(member);
    const tagged = list?.pop();
    if (list === undefined || tagged === undefined) return undefined;
    this.#lastFinish.set(member, tagged.startTag);
    if (list.length === 0) this.#waiting.delete(member);
    this.#size--;
    return tagged.item;
  }

  /** Waiting items of one member. */
  sizeOf(member: string): number {
    return this.#waiting.get(member)?.length ?? 0;
  }

  #charge(member: string): number {
    const start = Math.max(
      this.#virtualTime,
      this.#lastFinish.get(member) ?? 0,
    );
    this.#lastFinish.set(member, start + 1 / this.#weightOf(member));
    return start;
  }

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
