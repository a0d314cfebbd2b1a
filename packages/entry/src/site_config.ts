/**
 * The configuration in force, indexed by name for requests.
 *
 * @module
 */
import type {
  ActiveConfig,
  ClassConfig,
  PipelineConfig,
  PoolConfig,
  ServiceConfig,
} from "@mangoreach/operators";

/** Look-ups in the configuration in force. */
export interface SiteConfig {
  readonly version: number;
  /** The largest priority number published. */
  readonly lowestPriority: number;
  findClass(name: string): ClassConfig | undefined;
  findPipeline(name: string): PipelineConfig | undefined;
  findService(name: string): ServiceConfig | undefined;
  findPool(name: string): PoolConfig | undefined;
  /** Whether an account may send requests of a class. */
  isAllowed(account: string, className: string): boolean;
  listPools(): PoolConfig[];
}

/** Indexes a configuration. */
export function createSiteConfig(
  { version, config }: ActiveConfig,
): SiteConfig {
  const classes = createIndex(config.classes);
  const pipelines = createIndex(config.pipelines);
  const services = createIndex(config.services);
  const pools = createIndex(config.pools);
  const accounts = createIndex(config.accounts);
  return {
    version,
    lowestPriority: Math.max(...config.classes.map((one) => one.priority)),
    findClass: (name) => classes.get(name),
    findPipeline: (name) => pipelines.get(name),
    findService: (name) => services.get(name),
    findPool: (name) => pools.get(name),
    isAllowed: (account, className) =>
      accounts.get(account)?.classes.includes(className) ?? false,
    listPools: () => config.pools,
  };
}

function createIndex<T extends { name: string }>(
  items: readonly T[],
): Map<string, T> {
  return new Map(items.map((item) => [item.name, item]));
}
