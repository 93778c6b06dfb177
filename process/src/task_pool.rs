use {
    async_global_executor::{GlobalExecutorConfig, Task},
    std::future::Future,
};

/// Starts the thread pool for request traffic; must be called before any task is spawned.
pub fn start_traffic_threads(threads: usize) {
    let config = GlobalExecutorConfig::default()
        .with_min_threads(threads)
        .with_max_threads(threads)
        .with_thread_name_fn(|| "traffic".to_string());
    async_global_executor::init_with_config(config);
}

/// Spawns a task on the traffic threads; dropping the handle cancels it.
pub fn spawn<T: Send + 'static>(task: impl Future<Output = T> + Send + 'static) -> Task<T> {
    async_global_executor::spawn(task)
}

/// Spawns a task on the traffic threads that runs to completion.
pub fn spawn_detached(task: impl Future<Output = ()> + Send + 'static) {
    async_global_executor::spawn(task).detach();
}
