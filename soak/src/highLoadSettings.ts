/**
 * Settings of entries that watch their resources and divide capacity between
 * organisations. The memory is that of the smallest VMs in service.
 */
export const HIGH_LOAD_SETTINGS = {
  contracts: ['pressure'],
  limits: {
    cpu_share: 0.25,
    cores: 1,
    memory_mb: 210,
    max_fds: 2_212,
    link_mbps: 7,
  },
};
