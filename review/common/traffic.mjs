/**
 * Calls `send` at random times, on average so many times a second; somewhat less
 * often while this process is busy.
 *
 * @returns a function that ends it, and waits for what is still open.
 */
export function startTraffic({perSecond, send}) {
  return start(send, callNext => {
    const next = () => {
      if (callNext()) setTimeout(next, pauseMs(perSecond));
    };
    next();
  });
}

/** The same, but what a busy process was late with is sent at once. */
export function startSteadyTraffic({perSecond, send}) {
  return start(send, callNext => {
    let dueMs = performance.now();
    const next = () => {
      while (dueMs <= performance.now()) {
        if (!callNext()) return;
        dueMs += pauseMs(perSecond);
      }
      setTimeout(next, Math.max(1, dueMs - performance.now()));
    };
    next();
  });
}

function start(send, schedule) {
  const open = new Set();
  const results = [];
  let isOver = false;
  schedule(() => {
    if (isOver) return false;
    const one = send().then(result => {
      open.delete(one);
      results.push(result);
    });
    open.add(one);
    return true;
  });
  return async () => {
    isOver = true;
    await Promise.all(open);
    return results;
  };
}

function pauseMs(perSecond) {
  return -Math.log(1 - Math.random()) * (1000 / perSecond);
}
