#include "daemon/platform_reader.hpp"

#include "daemon/load_document.hpp"
#include "store/claim_segment.hpp"
#include "transport/http_client.hpp"

#include <chrono>

namespace peridotspar
{

namespace
{

using std::chrono::milliseconds;

constexpr int http_ok = 200;
constexpr milliseconds read_interval{1000};
constexpr milliseconds load_timeout{300};
/// Steps from one attempt to renew the lease and to sweep to the next.
constexpr int steps_per_lease_check = 3;
/// A node that isn't a platform reader reads the VM list only once in so many
/// steps. It needs this to find its first peers.
constexpr int steps_per_bootstrap_read = 30;

} // namespace

platform_reader::platform_reader(
    platform_client& r_store, peer_exchange& r_peers, node_id p_self,
    std::function<std::shared_ptr<const snapshot>()> p_current_snapshot)
    : store_(r_store),
      peers_(r_peers),
      current_snapshot_(std::move(p_current_snapshot)),
      sweep_lease_(r_store, clock_, "lease-claim-sweep", std::move(p_self))
{
}

platform_reader::~platform_reader()
{
    stop();
}

void platform_reader::start()
{
    thread_ = std::thread([this] { run(); });
}

void platform_reader::stop()
{
    stopping_ = true;
    if (thread_.joinable())
    {
        thread_.join();
        sweep_lease_.release();
    }
}

void platform_reader::run()
{
    for (int step = 0; !stopping_; ++step)
    {
        const bool is_reader = peers_.is_platform_reader();
        if (is_reader || step % steps_per_bootstrap_read == 0)
        {
            read_vms();
        }
        read_loads();
        if (is_reader && step % steps_per_lease_check == 0)
        {
            sweep_lease_.acquire_or_renew();
            sweep_claims();
        }
        std::this_thread::sleep_for(read_interval);
    }
}

void platform_reader::read_vms()
{
    const auto vms = store_.list_vms();
    if (!vms)
    {
        return;
    }
    std::vector<std::string> nodes;
    std::vector<std::string> leaving_backends;
    for (const auto& vm : *vms)
    {
        if (vm.role_ == "entry")
        {
            nodes.push_back(vm.name_ + " " + vm.address_);
        }
        else if (vm.leaving_)
        {
            leaving_backends.push_back(vm.name_);
        }
    }
    peers_.update_vm_list(std::move(nodes), leaving_backends);
}

void platform_reader::read_loads()
{
    const auto current = current_snapshot_();
    if (!current)
    {
        return;
    }
    std::vector<wire::load_report> loads;
    for (const auto& backend : current->document_.backends_)
    {
        if (stopping_ || backend.kind_ != backend_kind::engine ||
            !peers_.reads_load_of(backend.name_))
        {
            continue;
        }
        http_request request;
        request.target_ = "/load";
        request.timeout_ = load_timeout;
        const auto response = call({backend.address_, backend.port_}, request);
        auto load = response && response->status_ == http_ok
                        ? parse_load(response->body_)
                        : std::nullopt;
        if (!load)
        {
            continue;
        }
        load->backend = wire_hash(backend.name_);
        loads.push_back(*load);
    }
    peers_.update_loads(std::move(loads));
}

void platform_reader::sweep_claims()
{
    const std::int64_t last_span = newest_expired_claim_span(unix_ms());
    if (swept_span_ == 0)
    {
        swept_span_ = last_span - 1;
    }
    for (; swept_span_ < last_span; ++swept_span_)
    {
        for (const auto& name : claim_objects_in_span(swept_span_ + 1))
        {
            // Checked before each removal, because this process may be paused
            // for longer than the lease lasts.
            if (stopping_ || !sweep_lease_.is_held())
            {
                return;
            }
            if (const auto stored = store_.get(name);
                stored && stored->version_ > 0)
            {
                (void)store_.remove(name, stored->version_);
            }
        }
    }
}

} // namespace peridotspar
