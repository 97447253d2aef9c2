import './ejection.js';
import './idempotency.js';
import './metrics.js';
import './planner.js';
