/**
 * What one more step of urgency adds to a caller's count. Rare models of urgent
 * routes found no place beside the busy ones of less urgent routes, and their
 * callers earned a smaller share. Five troubled days on two seeds, value with and
 * without: 0.477 and 0.464. Other figures than a half were not compared.
 */
const PER_STEP = 0.5;

/**
 * What a caller of a route counts where placement weighs callers; 1 for those of
 * the least urgent route.
 *
 * Answers the load of many callers of one model beside few, more urgent ones of
 * models that fit only in its place.
 *
 * @param priority the route's; 0 is the most urgent.
 * @param leastUrgent the highest priority number of all routes.
 * @example priorityWeight(0, 2) // 2
 */
export function priorityWeight(priority: number, leastUrgent: number): number {
  return 1 + Math.max(0, leastUrgent - priority) * PER_STEP;
}
