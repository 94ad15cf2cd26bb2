/**
 * Runs an attempt and, after a delay, a hedge; the first answer wins and the
 * other attempt is cancelled.
 */
import type { Answer } from "./answer.ts";

/** One attempt in flight. */
export interface Attempt {
  answer: Promise<Answer>;
  cancel(): void;
}

/** Options of {@link raceHedged}. */
export interface HedgeRaceOptions {
  delayMillis: number;
  /** Starts the hedge; undefined if there is no budget or free slot for it. */
  startHedge: () => Attempt | undefined;
}

/**
 * Resolves with the first answer; rejects once all attempts started so far have
 * failed.
 */
export function raceHedged(
  first: Attempt,
  options: HedgeRaceOptions,
): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const running = new Set<Attempt>();
    let ended = false;
    const timer = setTimeout(() => {
      const hedge = options.startHedge();
      if (hedge) watch(hedge);
    }, options.delayMillis);
    function onAnswer(winner: Attempt, answer: Answer) {
      if (ended) return answer.cancel();
      ended = true;
      clearTimeout(timer);
      for (const attempt of running) if (attempt !== winner) attempt.cancel();
      resolve(answer);
    }
    function onFailure(loser: Attempt, error: unknown) {
      running.delete(loser);
      if (ended || running.size > 0) return;
      ended = true;
      clearTimeout(timer);
      reject(error);
    }
    function watch(attempt: Attempt) {
      running.add(attempt);
      attempt.answer.then(
        (answer) => onAnswer(attempt, answer),
        (error) => onFailure(attempt, error),
      );
    }
    watch(first);
  });
}
