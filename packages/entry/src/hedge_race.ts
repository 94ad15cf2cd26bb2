/**
 * Runs an attempt and, after a delay, a second one; the first answer wins
 * and the other attempt is cancelled.
 */
import type { Answer } from "./answer.ts";

/** One attempt in flight. */
export interface Attempt {
  answer: Promise<Answer>;
  cancel(): void;
}

/** Options of {@link raceHedged}. */
export interface HedgeOptions {
  delayMillis: number;
  /** Starts the second attempt; undefined where there is no room for it. */
  startSecond: () => Attempt | undefined;
}

/** Rejects only when no attempt is left that may answer. */
export function raceHedged(
  first: Attempt,
  options: HedgeOptions,
): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const running = new Set<Attempt>();
    let ended = false;
    const timer = setTimeout(() => {
      const second = options.startSecond();
      if (second) watch(second);
    }, options.delayMillis);
    function win(winner: Attempt, answer: Answer) {
      if (ended) return answer.cancel();
      ended = true;
      clearTimeout(timer);
      for (const attempt of running) if (attempt !== winner) attempt.cancel();
      resolve(answer);
    }
    function lose(loser: Attempt, error: unknown) {
      running.delete(loser);
      if (ended || running.size > 0) return;
      ended = true;
      clearTimeout(timer);
      reject(error);
    }
    function watch(attempt: Attempt) {
      running.add(attempt);
      attempt.answer.then(
        (answer) => win(attempt, answer),
        (error) => lose(attempt, error),
      );
    }
    watch(first);
  });
}
