/**
 * Returns the name of the pool whose capacity a request uses. Each model is a
 * pool of its own, as one may be short of capacity while others are idle.
 *
 * @param model undefined for a plain service.
 * @example poolOf('drafting', 'm7') // 'drafting/m7'
 */
export function poolOf(service: string, model: string | undefined): string {
  return model === undefined ? service : `${service}/${model}`;
}
