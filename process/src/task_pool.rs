use {
    async_global_executor::{GlobalExecutorConfig, Task},
    std::future::Future,
};

/// Starts the threads for traffic; must come before anything is spawned.
pub fn start_traffic_threads(threads: usize) {
    let config = GlobalExecutorConfig::default()
        .with_min_threads(threads)
        .with_max_threads(threads)
        .with_thread_name_fn(|| "traffic".to_string());
    async_global_executor::init_with_config(config);
}

/// Runs a task on the threads for traffic; dropping the handle stops it.
pub fn spawn<T: Send + 'static>(task: impl Future<Output = T> + Send + 'static) -> Task<T> {
    async_global_executor::spawn(task)
}

/// Runs a task on the threads for traffic until it ends by itself.
pub fn spawn_detached(task: impl Future<Output = ()> + Send + 'static) {
    async_global_executor::spawn(task).detach();
}
