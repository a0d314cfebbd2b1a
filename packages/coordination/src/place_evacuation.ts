/**
 * The places that operators have evacuated: their endpoints get no new work
 * until the mark is removed.
 *
 * A place with a quarter of the endpoints may be evacuated within seconds, and
 * later all of its endpoints return together and cold. Marks are read from the
 * platform's store, which may itself be restored from an older copy. A mark
 * that the copy lacks counts as still set, as its operator writes it again.
 *
 * @module
 */
import type { Clock, Millis } from "@mangoreach/shared";

/** Options of {@linkcode createPlaceEvacuation}. */
export interface PlaceEvacuationOptions {
  clock: Clock;
  /** Called for each place that is evacuated or returned. */
  onChange: (place: string, change: "evacuated" | "returned") => void;
}

/** The evacuated places. */
export interface PlaceEvacuation {
  /** Replaces all marks with those of a full read. */
  replaceAll(places: readonly string[]): void;
  markEvacuated(place: string): void;
  clearEvacuated(place: string): void;
  /**
   * Handles a restore of the store: the next full read may lack valid marks.
   */
  handleStoreRestored(): void;
  isEvacuated(place: string): boolean;
  /**
   * Whether the endpoints of a place may be cold without having reported it
   * yet.
   */
  isReturning(place: string): boolean;
}

/**
 * How long the endpoints of a returned place count as cold. Each endpoint
 * reports its state about once a second, and the report has to reach every
 * entry; the state before the evacuation is no longer valid.
 */
const RETURN_COLD_PERIOD: Millis = 3_000;
/** Within this time operators write marks again that a restored store lacks. */
const REWRITE_GRACE_PERIOD: Millis = 10_000;

/** Creates the state without evacuated places. */
export function createPlaceEvacuation(
  { clock, onChange }: PlaceEvacuationOptions,
): PlaceEvacuation {
  const evacuated = new Set<string>();
  const returnedAt = new Map<string, Millis>();
  /**
   * Marks that a restored store lacks; each value cancels the timer of a
   * removal.
   */
  const unconfirmed = new Map<string, () => void>();
  let isRestored = false;

  function confirmMark(place: string): void {
    unconfirmed.get(place)?.();
    unconfirmed.delete(place);
  }

  function markEvacuated(place: string): void {
    confirmMark(place);
    if (evacuated.has(place)) return;
    evacuated.add(place);
    onChange(place, "evacuated");
  }

  function clearEvacuated(place: string): void {
    confirmMark(place);
    if (!evacuated.delete(place)) return;
    returnedAt.set(place, clock.now());
    onChange(place, "returned");
  }

  function scheduleRemoval(place: string): void {
    if (unconfirmed.has(place)) return;
    const stop = clock.startTimer(
      REWRITE_GRACE_PERIOD,
      () => clearEvacuated(place),
    );
    unconfirmed.set(place, stop);
  }

  function replaceAll(places: readonly string[]): void {
    const named = new Set(places);
    for (const place of [...evacuated]) {
      if (named.has(place) || unconfirmed.has(place)) continue;
      if (isRestored) scheduleRemoval(place);
      else clearEvacuated(place);
    }
    isRestored = false;
    places.forEach(markEvacuated);
  }

  function isReturning(place: string): boolean {
    const at = returnedAt.get(place);
    if (at === undefined) return false;
    if (clock.now() - at < RETURN_COLD_PERIOD) return true;
    returnedAt.delete(place);
    return false;
  }

  return {
    replaceAll,
    markEvacuated,
    clearEvacuated,
    handleStoreRestored() {
      isRestored = true;
    },
    isEvacuated: (place) => evacuated.has(place),
    isReturning,
  };
}
