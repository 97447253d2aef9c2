import type {RoutePolicy} from '../types.js';

/** Finds the route of a host with the longest matching path prefix. */
export class RouteTable {
  private readonly byHost = new Map<string, Map<string, RoutePolicy>>();

  constructor(routes: readonly RoutePolicy[]) {
    for (const route of routes) {
      let prefixes = this.byHost.get(route.host);
      if (!prefixes) {
        prefixes = new Map();
        this.byHost.set(route.host, prefixes);
      }
      prefixes.set(route.pathPrefix, route);
    }
  }

  /**
   * Cuts the path at each slash from the end, so that the cost depends on the
   * length of the path and not on the number of routes.
   *
   * @example table.find('desk.example', '/claims/1?full=1')?.name
   */
  find(hostHeader: string, target: string): RoutePolicy | undefined {
    const prefixes = this.byHost.get(hostName(hostHeader));
    if (!prefixes) return undefined;
    const path = withoutQuery(target);
    let end = path.lastIndexOf('/');
    while (end >= 0) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route) return route;
      if (end === 0) return undefined;
      end = path.lastIndexOf('/', end - 1);
    }
    return undefined;
  }
}

function hostName(hostHeader: string): string {
  const colon = hostHeader.lastIndexOf(':');
  const name = colon < 0 ? hostHeader : hostHeader.slice(0, colon);
  return name.toLowerCase();
}

function withoutQuery(target: string): string {
  const mark = target.indexOf('?');
  return mark < 0 ? target : target.slice(0, mark);
}
