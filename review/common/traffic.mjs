/**
 * Calls `send` at random times, on average so many times a second.
 *
 * @returns a function that ends it, and waits for what is still open.
 */
export function startTraffic({perSecond, send}) {
  const open = new Set();
  const results = [];
  let isOver = false;
  const next = () => {
    if (isOver) return;
    const one = send().then(result => {
      open.delete(one);
      results.push(result);
    });
    open.add(one);
    setTimeout(next, -Math.log(1 - Math.random()) * (1000 / perSecond));
  };
  next();
  return async () => {
    isOver = true;
    await Promise.all(open);
    return results;
  };
}
